package linemast.duties

import linemast.leadership.LeaderKeys
import linemast.settings.DutySettings
import linemast.store.KeyValueStore
import linemast.store.listAll

/** Reads what the store holds of single-holder duties, and reports on it. Changes nothing. */
class IntentInspection(private val store: KeyValueStore, private val settings: DutySettings, private val wallMicros: () -> Long) {
    /** The report as of now. */
    suspend fun report(): IntentReport {
        // The counter is read last: no intent that was read before it can be of a token that was not given out.
        val log = IntentLog.empty(settings.slots).reload(store.listAll(IntentCodec.PREFIX).entries)
        val leader = store.get(LeaderKeys.LEADER)
        val highest = store.get(LeaderKeys.FENCING_TOKEN)
        val leadership = LeadershipRecord(
            leaderName = leader?.value?.text("node"),
            leaderToken = leader?.value?.long("helm"),
            highestToken = highest?.value?.long("n") ?: 0L,
        )
        val intents = log.intents.map { it.intent }
        return IntentReport(intents, leadership, IntentAudit(settings.scaleOutRetryMicros).check(intents, leadership, wallMicros()))
    }
}

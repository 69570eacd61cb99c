package linemast.duties

import linemast.leadership.LeaderKeys
import linemast.settings.DutySettings
import linemast.store.KeyValueStore
import linemast.store.listAll

/** Reads the intent log from the store and audits it, without any write. */
class IntentInspection(private val store: KeyValueStore, private val settings: DutySettings, private val wallMicros: () -> Long) {
    /**
     * Returns a report on the current content of the store. Throws a `StoreException` if the store does not respond, and a
     * `MalformedException` for a malformed leader record.
     */
    suspend fun report(): IntentReport {
        // The token counter is read last: an intent that was read before cannot have a token that is issued after this read.
        val log = IntentLog.empty(settings.slots).reload(store.listAll(IntentCodec.PREFIX).entries)
        val leader = store.get(LeaderKeys.LEADER)
        val tokenCounter = store.get(LeaderKeys.FENCING_TOKEN)
        val leadership = LeadershipSnapshotCodec.decode(leader?.value, tokenCounter?.value)
        val intents = log.intents.map { it.intent }
        val findings = IntentAudit(settings.scaleOutRetryTimeoutMicros).check(intents, leadership, wallMicros())
        return IntentReport(intents, leadership, findings)
    }
}

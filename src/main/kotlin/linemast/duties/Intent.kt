package linemast.duties

import linemast.cloud.ScaleOutRequest
import linemast.settings.Duty

/** Identifies an intent: the [fencingToken] of the term that decided it, and its [number] within that term, from 1 up. */
data class IntentId(val fencingToken: Long, val number: Long) : Comparable<IntentId> {
    override fun compareTo(other: IntentId): Int = compareValuesBy(this, other, IntentId::fencingToken, IntentId::number)

    override fun toString() = "$fencingToken-$number"
}

/** An action at the cloud. Both kinds are idempotent. */
sealed interface CloudAction {
    /** The duty that the action belongs to, by which operators may suspend it. */
    val duty: Duty

    /** Sends [request] for machines; a repetition under the same request id grants no further ones. */
    data class ScaleOut(val request: ScaleOutRequest) : CloudAction {
        override val duty get() = Duty.SCALE_OUT
    }

    /** Removes the machines called [names]. The cloud ignores names that are gone, and never uses a name again. */
    data class ScaleIn(val names: List<String>, override val duty: Duty) : CloudAction
}

/** State of an intent; all but [OPEN] are final. [stored] is the text in the store. */
enum class IntentState(val stored: String) {
    /** Committed; the cloud may or may not have carried out the action. */
    OPEN("open"),

    /** The cloud has confirmed the action. */
    CARRIED_OUT("carried-out"),

    /** The cloud has refused the action for lack of capacity. */
    REFUSED("refused"),

    /** No answer came in time, and the action is not repeated any more; machines that it did bring show in the cloud's list. */
    ABANDONED("abandoned"),
    ;

    /** Whether the state is final. */
    val isTerminal: Boolean get() = this != OPEN

    /** Lookup by the stored text. */
    companion object {
        private val byStored = entries.associateBy { it.stored }

        /** The state stored as [stored]; null if there is none. */
        fun of(stored: String): IntentState? = byStored[stored]
    }
}

/**
 * A decision to act at the cloud, committed to the store before the cloud is called.
 *
 * The commit depends on the leader's fence, so that only the current leader can decide. Once committed, the decision stands:
 * later leaders carry it out and do nothing that contradicts it.
 */
data class Intent(
    /** Identifies it among all intents; see [IntentId]. */
    val id: IntentId,
    /** What the cloud is asked to do. */
    val action: CloudAction,
    /** Wall-clock time of the decision; only good enough to tell how old it is. */
    val decidedWallMicros: Long,
    /** How far it has come, as the store holds it. */
    val state: IntentState = IntentState.OPEN,
    /** Number of machines that the cloud granted or removed. */
    val machineCount: Int = 0,
    /** Fencing token of the term that closed it; null while it is open. */
    val closedByToken: Long? = null,
) {
    /** This intent in the final [state]. */
    fun closed(state: IntentState, machineCount: Int, closedByToken: Long) =
        copy(state = state, machineCount = machineCount, closedByToken = closedByToken)
}

package linemast.duties

import linemast.cloud.ScaleOutRequest
import linemast.settings.Duty

/** Identifies an intent: the [fencingToken] of the term that decided it, and its [number] within that term, starting at 1. */
data class IntentId(val fencingToken: Long, val number: Long) : Comparable<IntentId> {
    override fun compareTo(other: IntentId): Int = compareValuesBy(this, other, IntentId::fencingToken, IntentId::number)

    override fun toString() = "$fencingToken-$number"
}

/** An action that the cloud is asked to carry out. Both kinds are idempotent. */
sealed interface CloudAction {
    /** The duty that the action belongs to; operators can suspend the actions of a duty. */
    val duty: Duty

    /** Sends [request] for machines; repeating it with the same request id grants no further machines. */
    data class ScaleOut(val request: ScaleOutRequest) : CloudAction {
        override val duty get() = Duty.SCALE_OUT
    }

    /** Removes the machines called [names]. The cloud ignores names of removed machines, and never reuses a name. */
    data class ScaleIn(val names: List<String>, override val duty: Duty) : CloudAction
}

/** State of an intent; all states but [OPEN] are final. [storedName] is the text in the store. */
enum class IntentState(val storedName: String) {
    /** Committed; the cloud may or may not have carried out the action. */
    OPEN("open"),

    /** The cloud has confirmed the action. */
    CARRIED_OUT("carried-out"),

    /** The cloud has refused the action, for lack of capacity or as malformed. */
    REFUSED("refused"),

    /** No response came in time, and the action is no longer repeated; machines that it did add appear in the cloud's list. */
    ABANDONED("abandoned"),
    ;

    /** Whether the state is final. */
    val isTerminal: Boolean get() = this != OPEN

    /** Looks up states by their stored text. */
    companion object {
        private val byStoredName = entries.associateBy { it.storedName }

        /** Returns the state stored as [storedName]; null if there is none. */
        fun of(storedName: String): IntentState? = byStoredName[storedName]
    }
}

/**
 * A decision to carry out a cloud action, committed to the store before the cloud is called.
 *
 * The leader's fence is a precondition of the commit, so that only the current leader can decide. A committed decision is
 * final: later leaders carry it out and do nothing that contradicts it.
 */
data class Intent(
    /** Identifies the intent among all intents; see [IntentId]. */
    val id: IntentId,
    /** What the cloud is asked to do. */
    val action: CloudAction,
    /** Wall-clock time of the decision; precise enough only to estimate the age of the intent. */
    val decidedWallMicros: Long,
    /** State of the intent as the store holds it. */
    val state: IntentState = IntentState.OPEN,
    /** Number of machines that the cloud granted or removed. */
    val machineCount: Int = 0,
    /** Fencing token of the term that closed the intent; null while the intent is open. */
    val closedByToken: Long? = null,
) {
    /** Returns this intent in the final [state]. */
    fun closed(state: IntentState, machineCount: Int, closedByToken: Long) =
        copy(state = state, machineCount = machineCount, closedByToken = closedByToken)
}

package linemast.duties

import linemast.cloud.ScaleOutRequest
import linemast.settings.Duty

/** Identifies an intent: the fencing token of the term that decided it, and its number within that term. */
data class IntentId(val fencingToken: Long, val number: Long) : Comparable<IntentId> {
    override fun compareTo(other: IntentId): Int = compareValuesBy(this, other, IntentId::fencingToken, IntentId::number)

    override fun toString() = "$fencingToken-$number"
}

/** Something to be done at the cloud. Both kinds can be repeated without doing more. */
sealed interface CloudAction {
    val duty: Duty

    /** Rents machines; the request's id makes a repetition rent nothing more. */
    data class ScaleOut(val request: ScaleOutRequest) : CloudAction {
        override val duty get() = Duty.SCALE_OUT
    }

    /** Gives machines back; names that are gone already are ignored by the cloud, and no name is ever used again. */
    data class ScaleIn(val names: List<String>, override val duty: Duty) : CloudAction
}

/** How far an intent has come; all but [OPEN] are final. */
enum class IntentState(val stored: String) {
    /** Committed; the cloud may or may not have carried it out. */
    OPEN("open"),

    /** The cloud has confirmed it. */
    CARRIED_OUT("carried-out"),

    /** The cloud has nothing to give. */
    REFUSED("refused"),

    /** Not repeated any more, for want of an answer in time; what it may still bring shows in the cloud's list. */
    ABANDONED("abandoned"),
    ;

    val isTerminal: Boolean get() = this != OPEN

    companion object {
        private val byStored = entries.associateBy { it.stored }

        /** The state stored as [stored]; null if there is none. */
        fun of(stored: String): IntentState? = byStored[stored]
    }
}

/**
 * A decision to do something at the cloud, committed to the store before the cloud is called.
 *
 * The commit depends on the leader's fence, so that only the holder of the leadership can decide. Once committed it
 * stands: whoever leads later carries it out rather than acting against it.
 */
data class Intent(
    val id: IntentId,
    val action: CloudAction,
    /** Time of day of the decision; good enough to tell how old it is. */
    val decidedWallMicros: Long,
    val state: IntentState = IntentState.OPEN,
    /** Machines that the cloud granted or took back. */
    val machineCount: Int = 0,
    /** Fencing token of the term that closed it; null while it is open. */
    val closedByToken: Long? = null,
) {
    /** The same intent with its end. */
    fun closed(state: IntentState, machineCount: Int, closedByToken: Long) =
        copy(state = state, machineCount = machineCount, closedByToken = closedByToken)
}

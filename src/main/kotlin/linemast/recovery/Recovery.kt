package linemast.recovery

import linemast.domain.TaskAttempt
import linemast.settings.RecoverySettings
import linemast.store.RequestPriority
import linemast.store.TokenBucket
import org.slf4j.LoggerFactory

/**
 * The reconciliation of what workers report with what the store holds, during one term of leading; pure.
 *
 * It decides two things of the orders that follow from a report: whether what is left of a job that the leader does not
 * know may be ended, and whether one more start or stop may leave now. All else is for placement to decide, as ever.
 */
class Recovery(settings: RecoverySettings) {
    private val logger = LoggerFactory.getLogger(Recovery::class.java)
    private val orderTokens = TokenBucket(settings.ordersPerSecond)

    /** Jobs that workers report and the leader does not know. */
    val unknownJobs = UnknownJobs(settings.confirmMicros, PATIENCE_MICROS)

    /** What was found and ordered. */
    val ledger = RecoveryStatistics()

    private var refusedMicros = 0L
    private var reconciledMicros: Long? = null

    /**
     * Whether all that earlier leaders started is accounted for, and what has to be started anew has been. From then on
     * nothing is paced or counted.
     */
    var isOver = false
        private set

    /** Whether the tasks of [job], which the leader does not know, may be stopped, and their results forgotten. */
    fun mayDiscard(job: String, nowMicros: Long): Boolean = when (unknownJobs.reported(job, nowMicros)) {
        UnknownJobState.UNDECIDED, UnknownJobState.INCONSISTENT -> false
        UnknownJobState.OVER, UnknownJobState.UNRECORDED, UnknownJobState.UNKNOWN -> true
    }

    /** Whether one more start, or a stop that is not urgent, may leave now. */
    fun mayOrder(nowMicros: Long): Boolean {
        if (isOver || orderTokens.tryTake(1, RequestPriority.CRITICAL, nowMicros)) return true
        refusedMicros = nowMicros
        return false
    }

    /** A worker has reported to this leader. */
    fun heard(machineName: String) {
        if (!isOver) ledger.heard(machineName)
    }

    /** A worker reports something of a job that the leader does not know. */
    fun foundUnknown(task: TaskAttempt) {
        if (!isOver) ledger.foundUnknown(task)
    }

    /** Counts [difference] while it goes on. */
    fun found(difference: RecoveryStatistics.Difference) {
        if (!isOver) ledger.found(difference)
    }

    /** Counts [count] orders while it goes on. */
    fun ordered(order: RecoveryStatistics.Order, count: Int = 1) {
        if (!isOver) ledger.ordered(order, count)
    }

    /** Takes note of whether the tasks of earlier leaders are accounted for. True when it is over by that. */
    fun step(isReconciled: Boolean, nowMicros: Long): Boolean {
        if (isOver) return false
        if (!isReconciled || unknownJobs.hasUndecided) {
            reconciledMicros = null
            return false
        }
        val since = reconciledMicros ?: nowMicros.also { reconciledMicros = it }
        if (nowMicros < maxOf(since, refusedMicros) + CALM_MICROS) return false
        isOver = true
        logger.info("recovered: {}", ledger.summary())
        if (unknownJobs.suspect.isNotEmpty()) logger.info("reported jobs without a whole record: {}", unknownJobs.suspect)
        return true
    }

    private companion object {
        /** Far below what a cancellation leaves for its tasks to be gone. */
        const val PATIENCE_MICROS = 3_000_000L

        /** Longer than it takes until what was settled has led to starts. */
        const val CALM_MICROS = 3_000_000L
    }
}

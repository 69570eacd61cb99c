package linemast.recovery

import linemast.domain.TaskAttempt
import linemast.settings.RecoverySettings
import linemast.store.RequestPriority
import linemast.store.TokenBucket
import org.slf4j.LoggerFactory

/**
 * Reconciles what workers report with what the store holds, during one leader term; performs no I/O itself.
 *
 * This class makes two decisions: whether the tasks of a job that is unknown to the leader may be stopped, and whether one
 * more start or stop command may be sent now. The scheduler makes all other decisions.
 */
class StateReconciliation(settings: RecoverySettings) {
    private val logger = LoggerFactory.getLogger(StateReconciliation::class.java)
    private val commandTokens = TokenBucket(settings.commandsPerSecond)

    /** Jobs that workers report and that are unknown to the leader. */
    val unknownJobs = UnknownJobs(settings.confirmationDelayMicros, LOOKUP_TIMEOUT_MICROS)

    /** Counts of the differences found and the commands sent until the reconciliation is complete. */
    val statistics = ReconciliationStatistics()

    /** When the rate limit last held a command back; null if it never did. */
    private var lastThrottledMicros: Long? = null
    private var reconciledSinceMicros: Long? = null

    /**
     * Whether all tasks that previous leaders started are reconciled, and the tasks that have to be started again have been
     * started. Once this is true, commands are no longer rate limited and nothing is counted.
     */
    var isComplete = false
        private set

    /** Whether the tasks of [job], which is unknown to the leader, may be stopped and their results discarded. */
    fun mayDiscard(job: String, nowMicros: Long): Boolean = when (unknownJobs.observe(job, nowMicros)) {
        UnknownJobState.UNDECIDED, UnknownJobState.INCONSISTENT -> false
        UnknownJobState.ENDED, UnknownJobState.UNRECORDED, UnknownJobState.UNKNOWN -> true
    }

    /** Whether one more start command, or a stop command that is not urgent, may be sent now; takes a token if so. */
    fun maySendCommand(nowMicros: Long): Boolean {
        if (isComplete || commandTokens.tryTake(1, RequestPriority.CRITICAL, nowMicros)) return true
        lastThrottledMicros = nowMicros
        return false
    }

    /** Records a heartbeat of the worker on [machineName]. */
    fun recordHeartbeat(machineName: String) {
        if (!isComplete) statistics.recordHeartbeat(machineName)
    }

    /** Counts [task], which a worker reports and whose job is unknown to the leader. */
    fun countUnknown(task: TaskAttempt) {
        if (!isComplete) statistics.countUnknown(task)
    }

    /** Counts one [difference] between a heartbeat and the store. */
    fun count(difference: ReconciliationStatistics.Difference) {
        if (!isComplete) statistics.count(difference)
    }

    /** Counts [count] commands that were sent. */
    fun count(command: ReconciliationStatistics.Command, count: Int = 1) {
        if (!isComplete) statistics.count(command, count)
    }

    /**
     * Completes the reconciliation if all tasks of previous leaders are reconciled ([isReconciled]), no unknown job is
     * undecided, and both have held for [QUIET_PERIOD_MICROS] without a command held back by the rate limit.
     *
     * Returns true if this call completed the reconciliation.
     */
    fun tryComplete(isReconciled: Boolean, nowMicros: Long): Boolean {
        if (isComplete) return false
        if (!isReconciled || unknownJobs.hasUndecided) {
            reconciledSinceMicros = null
            return false
        }
        val reconciledMicros = reconciledSinceMicros ?: nowMicros.also { reconciledSinceMicros = it }
        val quietSinceMicros = maxOf(reconciledMicros, lastThrottledMicros ?: reconciledMicros)
        if (nowMicros < quietSinceMicros + QUIET_PERIOD_MICROS) return false
        isComplete = true
        logger.info("reconciled: {}", ReconciliationReportCodec.summary(statistics))
        val jobs = unknownJobs.needingAttention
        if (jobs.isNotEmpty()) logger.info("reported jobs without a complete record: {}", jobs)
        return true
    }

    private companion object {
        /** Far below the time within which the tasks of a cancelled job have to end. */
        const val LOOKUP_TIMEOUT_MICROS = 3_000_000L

        /** Longer than it takes the scheduler, once all tasks are reconciled, to start tasks again. */
        const val QUIET_PERIOD_MICROS = 3_000_000L
    }
}

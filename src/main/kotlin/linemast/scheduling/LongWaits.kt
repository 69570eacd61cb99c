package linemast.scheduling

import linemast.domain.Job

/**
 * Determines which jobs have had no task on a machine for so long that they may use machines that are kept for other job classes: such a
 * machine is kept for jobs that may come, and a job that waits now goes before those.
 */
internal class LongWaits(private val cluster: Cluster) {
    /** When the next of the jobs that [isLong] was asked about will have waited for long; null if there is none. */
    private var nextMicros: Long? = null

    /** Whether a job has waited for long since [isLong] was asked about it; no other event would trigger a scheduling cycle then. */
    fun isDue(nowMicros: Long): Boolean = nextMicros.let { it != null && nowMicros >= it }

    /** Forgets all jobs, at the begin of a scheduling cycle. */
    fun reset() {
        nextMicros = null
    }

    /** Whether [job], which has pending tasks, has had no task on a machine for [LONG_WAIT_MICROS]. */
    fun isLong(job: Job, nowMicros: Long): Boolean {
        if (job.placements.any { !it.isAssigned }) return false
        val waitedMicros = minOf(cluster.wallMicros() - job.readyWallMicros, nowMicros - job.lastActiveMicros)
        if (waitedMicros >= LONG_WAIT_MICROS) return true
        val dueMicros = nowMicros + LONG_WAIT_MICROS - waitedMicros
        nextMicros = minOf(nextMicros ?: dueMicros, dueMicros)
        return false
    }

    private companion object {
        /** Less than the 90 s that a job may wait beside a machine with room. */
        const val LONG_WAIT_MICROS = 75_000_000L
    }
}

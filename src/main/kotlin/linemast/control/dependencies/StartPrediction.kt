package linemast.control.dependencies

import linemast.domain.JobRecord

/** A blocked [job] whose last dependency is predicted to end [startsInMicros] from now. */
class PredictedStart(val job: BlockedJob, val startsInMicros: Long)

/** Predicts when blocked jobs can start. */
internal class StartPrediction(
    /** Whether a job has unmet dependencies and will be released when they are done. */
    private val isAwaitingDependencies: (BlockedJob) -> Boolean,
    private val dependentsOf: (String) -> Collection<BlockedJob>,
    /** Estimates how long a running job still takes; null for a job that is not running. */
    private val remainingMicros: (String) -> Long?,
    /** Estimates how long a job that has not started will take. */
    private val durationMicros: (JobRecord) -> Long,
) {
    private val starts = LinkedHashMap<String, PredictedStart>()

    /** Returns those of [jobs] whose unmet dependencies are all running or predicted; dependencies precede their dependents. */
    fun predict(jobs: Collection<BlockedJob>): List<PredictedStart> {
        val queue = ArrayDeque(jobs)
        var visits = 0
        while (queue.isNotEmpty() && visits++ < MAX_VISITS) {
            val job = queue.removeFirst()
            if (!isAwaitingDependencies(job) || job.id in starts) continue
            val startsInMicros = startsInMicros(job) ?: continue
            starts[job.id] = PredictedStart(job, startsInMicros)
            queue += dependentsOf(job.id)
        }
        return starts.values.toList()
    }

    private fun startsInMicros(job: BlockedJob): Long? = job.unmetDependencies.map { endsInMicros(it) ?: return null }.max()

    private fun endsInMicros(id: String): Long? =
        starts[id]?.let { it.startsInMicros + durationMicros(it.job.record) } ?: remainingMicros(id)
}

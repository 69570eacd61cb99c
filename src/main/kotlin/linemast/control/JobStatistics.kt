package linemast.control

import kotlinx.coroutines.CompletableDeferred
import linemast.admission.Flow
import linemast.admission.FlowClassifier
import linemast.domain.Job
import linemast.domain.JobProgress
import linemast.scheduling.Cluster

/** Counts the leader's jobs and their tasks. */
internal class JobStatistics(
    private val eventLoop: LeaderEventLoop,
    private val cluster: Cluster,
    private val flowClassifier: FlowClassifier,
) {
    /** Returns the task counts of job [id], or null if the leader has no such job. */
    fun progressOf(id: String): JobProgress? = cluster.jobs[id]?.let(::progressOf)

    /** Returns the task counts by job id, of jobs with running or completed tasks only. */
    fun progress(): Map<String, JobProgress> =
        cluster.jobs.values.associate { it.id to progressOf(it) }.filterValues { it.running > 0 || it.completed > 0 }

    /** Returns the number of unfinished jobs of each flow, counted on the event loop. */
    suspend fun unfinishedJobsByFlow(): Map<Flow, Int> {
        val counts = CompletableDeferred<Map<Flow, Int>>()
        eventLoop.enqueue { counts.complete(countUnfinishedJobs()) }
        return counts.await()
    }

    private fun countUnfinishedJobs() =
        cluster.jobs.values.filter { !it.finished }.groupingBy { flowClassifier.flowOf(it.spec) }.eachCount()

    private fun progressOf(job: Job) = JobProgress(job.completedCount, job.runningCount)
}

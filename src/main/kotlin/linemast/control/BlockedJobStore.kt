package linemast.control

import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import linemast.control.dependencies.BlockedJob
import linemast.control.dependencies.DependencyGraph
import linemast.domain.JobOutcome
import linemast.domain.OutcomeRecord
import linemast.jobs.JobKeys
import linemast.jobs.JobRecordCodec
import linemast.jobs.OutcomeRecordCodec
import linemast.scheduling.Cluster
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.RetryPolicy
import linemast.store.Write
import linemast.store.storeResultOrNull
import org.slf4j.LoggerFactory

/** Commits the release and the cancellation of blocked jobs. */
internal class BlockedJobStore(private val term: LeaderTerm, private val cluster: Cluster, private val graph: DependencyGraph) {
    private val log = LoggerFactory.getLogger(BlockedJobStore::class.java)

    /** A cancelled pipeline may have thousands of jobs: with few commits at a time none times out in the queue for a token. */
    private val cancellations = Semaphore(MAX_CONCURRENT_CANCELLATIONS)

    /** Moves the record of [job] to the open jobs; it can be scheduled from then on. */
    fun release(job: BlockedJob) {
        term.scope.launch {
            val record = job.record.released(term.wallMicros()).withKnownMachineTypes(cluster.machineTypes.values)
            val key = JobKeys.blocked(job.id)
            val writes = listOf(Write.Put(JobKeys.open(job.id), JobRecordCodec.encode(record)), Write.Delete(key))
            val preconditions = listOf(Precondition(key, job.revision))
            val result = storeResultOrNull(log) { term.commit(preconditions, writes, RequestPriority.HIGH) }
            settle(listOf(job), result) { revision ->
                log.info("{}: released: all that it depends on is done", job.id)
                cluster.applyJobRecord(record, revision)
            }
        }
    }

    /** Stores that [jobs] are cancelled with one of their dependencies, in as many transactions as that takes. */
    fun cancel(jobs: List<BlockedJob>) = jobs.chunked(term.limits.maxTxnOps / WRITES_PER_CANCELLATION).forEach(::cancelTogether)

    private fun cancelTogether(jobs: List<BlockedJob>) {
        term.scope.launch {
            val preconditions = jobs.map { Precondition(JobKeys.blocked(it.id), it.revision) }
            val writes = jobs.flatMap(::cancellationOf)
            val result = cancellations.withPermit {
                storeResultOrNull(log) { term.commit(preconditions, writes, RequestPriority.HIGH) }
            }
            settle(jobs, result) { log.info("{}: cancelled with a job that they depend on", jobs.map { it.id }) }
        }
    }

    private fun cancellationOf(job: BlockedJob): List<Write> {
        val outcome = OutcomeRecord(JobOutcome.CANCELLED, job.record.spec.taskCount)
        return listOf(Write.Put(JobKeys.outcome(job.id), OutcomeRecordCodec.encode(outcome)), Write.Delete(JobKeys.blocked(job.id)))
    }

    private suspend fun settle(jobs: List<BlockedJob>, result: TermCommitResult?, onApplied: (Long) -> Unit) = when (result) {
        is TermCommitResult.Applied -> term.loop.run {
            jobs.forEach { graph.remove(it.id) }
            onApplied(result.revision)
        }
        is TermCommitResult.Conflict -> retryLater(jobs, endedIds = result.failedKeys.map { it.removePrefix(JobKeys.BLOCKED_PREFIX) })
        TermCommitResult.LeadershipLost -> term.lease.end()
        TermCommitResult.NoResult, null -> retryLater(jobs, endedIds = emptyList())
    }

    /** A job whose record changed is not blocked any more: its user cancelled it, or a commit without an answer was applied. */
    private suspend fun retryLater(jobs: List<BlockedJob>, endedIds: List<String>) {
        RETRY.pause()
        term.loop.run {
            endedIds.forEach(graph::remove)
            graph.commitFailed(jobs.filter { it.id !in endedIds })
        }
    }

    private companion object {
        val RETRY = RetryPolicy(delayMillis = 250)
        const val WRITES_PER_CANCELLATION = 2
        const val MAX_CONCURRENT_CANCELLATIONS = 3
    }
}

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

    /** Limits concurrent commits, so that none times out in the rate limiter's queue: a cancelled pipeline may have thousands of jobs. */
    private val cancellationPermits = Semaphore(MAX_CONCURRENT_CANCELLATIONS)

    /** Moves the record of [job] to the open jobs; once that is committed, the job can be scheduled. */
    fun release(job: BlockedJob) {
        term.scope.launch {
            val record = job.record.released(term.wallMicros()).withKnownMachineTypes(cluster.machineTypes.values)
            val key = JobKeys.blocked(job.id)
            val writes = listOf(Write.Put(JobKeys.open(job.id), JobRecordCodec.encode(record)), Write.Delete(key))
            val preconditions = listOf(Precondition(key, job.revision))
            val result = storeResultOrNull(log) { term.commit(preconditions, writes, RequestPriority.HIGH) }
            applyResult(listOf(job), result) { revision ->
                log.info("{}: released: all that it depends on is done", job.id)
                cluster.applyJobRecord(record, revision)
            }
        }
    }

    /** Commits that [jobs] are cancelled with one of their dependencies, in as many transactions as needed. */
    fun cancel(jobs: List<BlockedJob>) = jobs.chunked(term.limits.maxTxnOps / WRITES_PER_CANCELLATION).forEach(::cancelInOneTransaction)

    private fun cancelInOneTransaction(jobs: List<BlockedJob>) {
        term.scope.launch {
            val preconditions = jobs.map { Precondition(JobKeys.blocked(it.id), it.revision) }
            val writes = jobs.flatMap(::cancellationWrites)
            val result = cancellationPermits.withPermit {
                storeResultOrNull(log) { term.commit(preconditions, writes, RequestPriority.HIGH) }
            }
            applyResult(jobs, result) { log.info("{}: cancelled with a job that they depend on", jobs.map { it.id }) }
        }
    }

    private fun cancellationWrites(job: BlockedJob): List<Write> {
        val outcome = OutcomeRecord(JobOutcome.CANCELLED, job.record.spec.taskCount)
        return listOf(Write.Put(JobKeys.outcome(job.id), OutcomeRecordCodec.encode(outcome)), Write.Delete(JobKeys.blocked(job.id)))
    }

    private suspend fun applyResult(jobs: List<BlockedJob>, result: TermCommitResult?, onApplied: (Long) -> Unit) = when (result) {
        is TermCommitResult.Applied -> term.eventLoop.enqueue {
            jobs.forEach { graph.remove(it.id) }
            onApplied(result.revision)
        }
        is TermCommitResult.Conflict -> retryAfterDelay(jobs, endedIds = result.failedKeys.map { it.removePrefix(JobKeys.BLOCKED_PREFIX) })
        TermCommitResult.LeadershipLost -> term.lease.end()
        TermCommitResult.NoResult, null -> retryAfterDelay(jobs, endedIds = emptyList())
    }

    /**
     * Makes [jobs] due again after a delay, except those with [endedIds], whose records have changed: they are not blocked
     * any more, since their users cancelled them, or an earlier commit that got no response was applied.
     */
    private suspend fun retryAfterDelay(jobs: List<BlockedJob>, endedIds: List<String>) {
        RETRY.pause()
        term.eventLoop.enqueue {
            endedIds.forEach(graph::remove)
            graph.markCommitFailed(jobs.filter { it.id !in endedIds })
        }
    }

    private companion object {
        val RETRY = RetryPolicy(delayMillis = 250)
        const val WRITES_PER_CANCELLATION = 2
        const val MAX_CONCURRENT_CANCELLATIONS = 3
    }
}

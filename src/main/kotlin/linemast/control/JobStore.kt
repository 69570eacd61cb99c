package linemast.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.domain.Job
import linemast.domain.JobOutcome
import linemast.domain.OutcomeRecord
import linemast.jobs.CompletedTasks
import linemast.jobs.JobKeys
import linemast.jobs.JobRecordCodec
import linemast.leadership.LeaderKeys
import linemast.leadership.LeaderLease
import linemast.scheduling.Cluster
import linemast.store.CommitResult
import linemast.store.Entry
import linemast.store.KeyChange
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.Write
import linemast.store.listAll
import linemast.store.storeResultOrNull
import org.slf4j.LoggerFactory
import java.util.BitSet

/**
 * What the leader stores of jobs: their openings, done sets and ends.
 *
 * Every write depends on the leadership; what comes back is taken in by the coroutine that owns the cluster state.
 */
internal class JobStore(
    private val store: KeyValueStore,
    private val scope: CoroutineScope,
    private val leaderLease: LeaderLease,
    private val cluster: () -> Cluster,
    private val maxTxnOps: Int,
    /** Runs an action in the turn of the coroutine that owns the cluster state. */
    private val onLeaderLoop: suspend (() -> Unit) -> Unit,
    private val onChange: (KeyChange) -> Unit,
    private val onDone: (Job) -> Unit,
) {
    private val log = LoggerFactory.getLogger(JobStore::class.java)
    private val fence get() = leaderLease.fence

    fun storeOpened(job: Job) {
        scope.launch {
            while (true) {
                val revision = job.revision
                val result = storeResultOrNull(log) {
                    val entry = store.get(JobKeys.open(job.id), RequestPriority.HIGH) ?: return@storeResultOrNull null
                    val record = JobRecordCodec.decodeJob(entry.value)
                    if (record.cancelled) return@storeResultOrNull null
                    store.commit(
                        listOf(fence, Precondition(entry.key, entry.revision)),
                        listOf(Write.Put(entry.key, JobRecordCodec.encode(record.with(opened = true).within(cluster().types.values)))),
                        RequestPriority.HIGH,
                    )
                }
                when (result) {
                    is CommitResult.Applied -> {
                        onLeaderLoop {
                            job.opened = Job.Opened.YES
                            cluster().dirty = true
                        }
                        return@launch
                    }
                    is CommitResult.Conflict -> if (LeaderKeys.LEADER in result.failed) return@launch leaderLease.end()
                    else -> Unit
                }
                if (job.cancelled || job.finished) return@launch
                if (revision == job.revision) delay(RETRY_MILLIS)
            }
        }
    }

    fun storeDone(job: Job) {
        job.writingDone = true
        scope.launch {
            val parts = job.dirtyParts.stream().limit(maxTxnOps.toLong()).toArray()
            val isDone = job.isDone
            val bits = parts.map { CompletedTasks.encodePart(job.done, it) }
            val result = storeResultOrNull(log) { if (isDone) commitDone(job) else commitParts(job, parts, bits) }
            onLeaderLoop {
                job.writingDone = false
                when (result) {
                    is CommitResult.Applied -> {
                        parts.forEach {
                            job.dirtyParts.clear(it)
                            job.partRevisions[it] = result.revision
                        }
                        if (!isDone) {
                            // Tasks completed while the write was under way are in the next one.
                            for ((at, part) in parts.withIndex()) {
                                if (CompletedTasks.encodePart(job.done, part) != bits[at]) job.dirtyParts.set(part)
                            }
                        } else {
                            finish(job)
                        }
                    }
                    is CommitResult.Conflict -> conflicted(job, result)
                    else -> Unit
                }
            }
        }
    }

    private fun conflicted(job: Job, result: CommitResult.Conflict) {
        if (LeaderKeys.LEADER in result.failed) leaderLease.end() else reread(job)
    }

    private fun finish(job: Job) {
        log.info("{}: done, {} tasks", job.id, job.spec.taskCount)
        cluster().finish(job)
        onDone(job)
    }

    private suspend fun commitParts(job: Job, parts: IntArray, bits: List<String>): CommitResult = store.commit(
        listOf(fence, Precondition(JobKeys.open(job.id), job.revision)) +
            parts.map { Precondition(JobKeys.donePart(job.id, it), job.partRevisions[it] ?: 0L) },
        parts.mapIndexed { at, part -> Write.Put(JobKeys.donePart(job.id, part), mapOf("bits" to bits[at])) },
        RequestPriority.BACKGROUND,
    )

    private suspend fun commitDone(job: Job): CommitResult {
        val outcome = store.get(JobKeys.outcome(job.id), RequestPriority.HIGH) ?: return CommitResult.Conflict(emptyList())
        if (JobRecordCodec.decodeOutcome(outcome.value).outcome.isTerminal) return CommitResult.Conflict(emptyList())
        val end = Write.Put(outcome.key, JobRecordCodec.encode(OutcomeRecord(JobOutcome.DONE, job.spec.taskCount)))
        return commitEnd(job, listOf(end), Precondition(outcome.key, outcome.revision))
    }

    /** Commits the end of a job's record. The parts of its done set go with it, as far as a transaction takes them, or after it. */
    private suspend fun commitEnd(job: Job, writes: List<Write>, precondition: Precondition): CommitResult {
        val parts = job.partRevisions.keys.map { JobKeys.donePart(job.id, it) }
        val record = writes + Write.Delete(JobKeys.open(job.id))
        val room = maxTxnOps - record.size
        val result = store.commit(listOf(fence, precondition), record + parts.take(room).map { Write.Delete(it) }, RequestPriority.HIGH)
        if (result is CommitResult.Applied) dropParts(parts.drop(room))
        return result
    }

    /** Parts of the done sets of jobs that are over; those that this misses the next leader drops. */
    fun dropParts(keys: List<String>) {
        if (keys.isEmpty()) return
        scope.launch {
            for (some in keys.chunked(maxTxnOps)) storeResultOrNull(log) { store.commit(listOf(fence), some.map { Write.Delete(it) }) }
        }
    }

    /**
     * The job's record is not what it was taken for: most likely its user has cancelled it, or a write that gave no answer
     * has been carried out. A record that is gone says that the job is over.
     */
    private fun reread(job: Job) {
        scope.launch {
            val key = JobKeys.open(job.id)
            val read = storeResultOrNull(log) { Result.success(store.get(key)) } ?: return@launch
            val parts = storeResultOrNull(log) { store.listAll("${JobKeys.DONE_PREFIX}${job.id}/").entries } ?: return@launch
            onLeaderLoop {
                val entry = read.getOrNull()
                onChange(KeyChange(key, entry?.value, entry?.revision ?: 0L))
                if (entry != null) parts.forEach { takeDone(job, it, it.key.substringAfterLast('/').toInt()) }
            }
        }
    }

    fun dropCancelled(job: Job) {
        job.writingDone = true
        scope.launch {
            val result = storeResultOrNull(log) { commitEnd(job, emptyList(), Precondition(JobKeys.open(job.id), job.revision)) }
            onLeaderLoop {
                job.writingDone = false
                when (result) {
                    is CommitResult.Applied -> cluster().jobs.remove(job.id)
                    is CommitResult.Conflict -> conflicted(job, result)
                    else -> Unit
                }
            }
        }
    }

    /** Takes a stored part of a done set. */
    fun takeDone(job: Job, entry: Entry, part: Int) {
        val set = BitSet()
        CompletedTasks.decodePart(entry.value.text("bits"), part, set)
        job.partRevisions[part] = entry.revision
        set.stream().forEach { job.markDone(it) }
    }

    private companion object {
        const val RETRY_MILLIS = 250L
    }
}

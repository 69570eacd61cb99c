package linemast.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.domain.Job
import linemast.domain.Verdict
import linemast.domain.VerdictRecord
import linemast.jobs.DoneSet
import linemast.jobs.JobKeys
import linemast.jobs.JobRecordCodec
import linemast.leadership.Authority
import linemast.leadership.LeaderKeys
import linemast.scheduling.Cluster
import linemast.store.Change
import linemast.store.CommitResult
import linemast.store.Condition
import linemast.store.Item
import linemast.store.Priority
import linemast.store.Store
import linemast.store.Write
import linemast.store.attempt
import linemast.store.listAll
import org.slf4j.LoggerFactory
import java.util.BitSet

/**
 * What the leader stores of jobs: their openings, done sets and ends.
 *
 * Every write depends on the leadership; what comes back is taken in by the coroutine that owns the cluster state.
 */
internal class JobStore(
    private val store: Store,
    private val scope: CoroutineScope,
    private val authority: Authority,
    private val cluster: () -> Cluster,
    private val mostTxnOps: Int,
    /** Runs an action in the turn of the coroutine that owns the cluster state. */
    private val onLeaderLoop: suspend (() -> Unit) -> Unit,
    private val onChange: (Change) -> Unit,
    private val onDone: (Job) -> Unit,
) {
    private val log = LoggerFactory.getLogger(JobStore::class.java)
    private val fence get() = authority.fence

    fun storeOpened(job: Job) {
        scope.launch {
            while (true) {
                val version = job.version
                val result = attempt(log) {
                    val item = store.get(JobKeys.open(job.id), Priority.INTAKE) ?: return@attempt null
                    val record = JobRecordCodec.decodeJob(item.value)
                    if (record.cancelled) return@attempt null
                    store.commit(
                        listOf(fence, Condition(item.key, item.version)),
                        listOf(Write.Put(item.key, JobRecordCodec.encode(record.with(opened = true).within(cluster().types.values)))),
                        Priority.INTAKE,
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
                    is CommitResult.Conflict -> if (LeaderKeys.LEADER in result.failed) return@launch authority.end()
                    else -> Unit
                }
                if (job.cancelled || job.finished) return@launch
                if (version == job.version) delay(RETRY_MILLIS)
            }
        }
    }

    fun storeDone(job: Job) {
        job.writingDone = true
        scope.launch {
            val parts = job.dirtyParts.stream().limit(mostTxnOps.toLong()).toArray()
            val isDone = job.isDone
            val bits = parts.map { DoneSet.encodePart(job.done, it) }
            val result = attempt(log) { if (isDone) commitDone(job) else commitParts(job, parts, bits) }
            onLeaderLoop {
                job.writingDone = false
                when (result) {
                    is CommitResult.Applied -> {
                        parts.forEach {
                            job.dirtyParts.clear(it)
                            job.partVersions[it] = result.revision
                        }
                        if (!isDone) {
                            // Tasks completed while the write was under way are in the next one.
                            for ((at, part) in parts.withIndex()) {
                                if (DoneSet.encodePart(job.done, part) != bits[at]) job.dirtyParts.set(part)
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
        if (LeaderKeys.LEADER in result.failed) authority.end() else reread(job)
    }

    private fun finish(job: Job) {
        log.info("{}: done, {} tasks", job.id, job.spec.taskCount)
        cluster().finish(job)
        onDone(job)
    }

    private suspend fun commitParts(job: Job, parts: IntArray, bits: List<String>): CommitResult = store.commit(
        listOf(fence, Condition(JobKeys.open(job.id), job.version)) +
            parts.map { Condition(JobKeys.donePart(job.id, it), job.partVersions[it] ?: 0L) },
        parts.mapIndexed { at, part -> Write.Put(JobKeys.donePart(job.id, part), mapOf("bits" to bits[at])) },
        Priority.BACKGROUND,
    )

    private suspend fun commitDone(job: Job): CommitResult {
        val verdict = store.get(JobKeys.verdict(job.id), Priority.INTAKE) ?: return CommitResult.Conflict(emptyList())
        if (JobRecordCodec.decodeOutcome(verdict.value).verdict.isFinal) return CommitResult.Conflict(emptyList())
        val end = Write.Put(verdict.key, JobRecordCodec.encode(VerdictRecord(Verdict.DONE, job.spec.taskCount)))
        return commitEnd(job, listOf(end), Condition(verdict.key, verdict.version))
    }

    /** Commits the end of a job's record. The parts of its done set go with it, as far as a transaction takes them, or after it. */
    private suspend fun commitEnd(job: Job, writes: List<Write>, condition: Condition): CommitResult {
        val parts = job.partVersions.keys.map { JobKeys.donePart(job.id, it) }
        val record = writes + Write.Drop(JobKeys.open(job.id))
        val room = mostTxnOps - record.size
        val result = store.commit(listOf(fence, condition), record + parts.take(room).map { Write.Drop(it) }, Priority.INTAKE)
        if (result is CommitResult.Applied) dropParts(parts.drop(room))
        return result
    }

    /** Parts of the done sets of jobs that are over; those that this misses the next leader drops. */
    fun dropParts(keys: List<String>) {
        if (keys.isEmpty()) return
        scope.launch {
            for (some in keys.chunked(mostTxnOps)) attempt(log) { store.commit(listOf(fence), some.map { Write.Drop(it) }) }
        }
    }

    /**
     * The job's record is not what it was taken for: most likely its user has cancelled it, or a write that gave no answer
     * has been carried out. A record that is gone says that the job is over.
     */
    private fun reread(job: Job) {
        scope.launch {
            val key = JobKeys.open(job.id)
            val read = attempt(log) { Result.success(store.get(key)) } ?: return@launch
            val parts = attempt(log) { store.listAll("${JobKeys.DONE_PREFIX}${job.id}/").items } ?: return@launch
            onLeaderLoop {
                val item = read.getOrNull()
                onChange(Change(key, item?.value, item?.version ?: 0L))
                if (item != null) parts.forEach { takeDone(job, it, it.key.substringAfterLast('/').toInt()) }
            }
        }
    }

    fun dropCancelled(job: Job) {
        job.writingDone = true
        scope.launch {
            val result = attempt(log) { commitEnd(job, emptyList(), Condition(JobKeys.open(job.id), job.version)) }
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
    fun takeDone(job: Job, item: Item, part: Int) {
        val set = BitSet()
        DoneSet.decodePart(item.value.text("bits"), part, set)
        job.partVersions[part] = item.version
        set.stream().forEach { job.markDone(it) }
    }

    private companion object {
        const val RETRY_MILLIS = 250L
    }
}

package linemast.control

import kotlinx.coroutines.launch
import linemast.domain.Job
import linemast.jobs.CompletedTaskParts
import linemast.jobs.CompletedTasksCodec
import linemast.jobs.JobKeys
import linemast.serialization.Fields
import linemast.store.Entry
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.Write
import linemast.store.listAll
import linemast.store.storeResultOrNull
import org.slf4j.LoggerFactory
import java.util.BitSet

/** Reads and writes the stored sets of completed tasks, in parts of [CompletedTaskParts.TASKS_PER_PART] tasks. */
internal class CompletedTaskStore(private val term: LeaderTerm) {
    private val log = LoggerFactory.getLogger(CompletedTaskStore::class.java)

    /** Writes [parts] of [job] if neither the job's record nor these parts have changed in the store. */
    suspend fun commit(job: Job, parts: List<CompletedTaskPart>): TermCommitResult {
        val partPreconditions = parts.map {
            Precondition(JobKeys.completedTasksPart(job.id, it.index), job.storedProgress.partRevisions[it.index] ?: 0L)
        }
        return term.commit(
            listOf(Precondition(JobKeys.open(job.id), job.revision)) + partPreconditions,
            parts.map { Write.Put(JobKeys.completedTasksPart(job.id, it.index), it.encoded) },
            RequestPriority.BACKGROUND,
        )
    }

    /** Returns the stored parts of a job. */
    suspend fun read(jobId: String): List<Entry> = term.store.listAll("${JobKeys.COMPLETED_TASKS_PREFIX}$jobId/").entries

    /** Marks the tasks of the stored part [entry] as done and records its revision. */
    fun apply(job: Job, entry: Entry, part: Int) {
        val tasks = BitSet()
        CompletedTasksCodec.decode(entry.value, part, tasks)
        job.storedProgress.partRevisions[part] = entry.revision
        job.storedProgress.recordStored(tasks)
        tasks.stream().forEach { job.markCompleted(it) }
    }

    /** Deletes parts of jobs that have ended; the next leader deletes those whose deletion fails. */
    fun delete(keys: List<String>) {
        if (keys.isEmpty()) return
        term.scope.launch {
            for (chunk in keys.chunked(term.limits.maxTxnOps)) {
                storeResultOrNull(log) {
                    term.commit(emptyList(), chunk.map { Write.Delete(it) })
                }
            }
        }
    }
}

/** A snapshot of one part of a job's completed tasks, in its stored form. */
internal class CompletedTaskPart(val index: Int, val encoded: Map<String, Any?>) {
    /** The indices of the completed tasks in this part. */
    val tasks: BitSet get() = BitSet().also { CompletedTasksCodec.decode(Fields(encoded), index, it) }

    /** Whether this part of [job] has not changed since the snapshot. */
    fun isUnchanged(job: Job): Boolean = CompletedTasksCodec.encode(job.completedTasks, index) == encoded

    companion object {
        /** Returns snapshots of the parts of [job] that changed since they were last written, at most [maxParts]. */
        fun changed(job: Job, maxParts: Int): List<CompletedTaskPart> {
            val parts = job.storedProgress.dirtyParts.stream().limit(maxParts.toLong()).toArray()
            return parts.map { CompletedTaskPart(it, CompletedTasksCodec.encode(job.completedTasks, it)) }
        }
    }
}

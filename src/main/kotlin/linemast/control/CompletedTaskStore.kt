package linemast.control

import kotlinx.coroutines.launch
import linemast.domain.Job
import linemast.jobs.CompletedTaskParts
import linemast.jobs.CompletedTasksCodec
import linemast.jobs.JobKeys
import linemast.store.Entry
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.Write
import linemast.store.listAll
import linemast.store.storeResultOrNull
import org.slf4j.LoggerFactory
import java.util.BitSet

/** The stored sets of completed tasks, in parts of [CompletedTaskParts.TASKS_PER_PART] tasks. */
internal class CompletedTaskStore(private val term: LeaderTerm) {
    private val log = LoggerFactory.getLogger(CompletedTaskStore::class.java)

    /** Writes [parts] of [job] if neither its record nor these parts have changed. */
    suspend fun commit(job: Job, parts: List<CompletedTaskPart>): TermCommitResult {
        val partPreconditions =
            parts.map { Precondition(JobKeys.donePart(job.id, it.index), job.storedProgress.partRevisions[it.index] ?: 0L) }
        return term.commit(
            listOf(Precondition(JobKeys.open(job.id), job.revision)) + partPreconditions,
            parts.map { Write.Put(JobKeys.donePart(job.id, it.index), it.encoded) },
            RequestPriority.BACKGROUND,
        )
    }

    /** The stored parts of a job. */
    suspend fun read(jobId: String): List<Entry> = term.store.listAll("${JobKeys.DONE_PREFIX}$jobId/").entries

    /** Marks the tasks of a stored part as done. */
    fun apply(job: Job, entry: Entry, part: Int) {
        val tasks = BitSet()
        CompletedTasksCodec.decode(entry.value, part, tasks)
        job.storedProgress.partRevisions[part] = entry.revision
        tasks.stream().forEach { job.markDone(it) }
    }

    /** Deletes parts of jobs that have ended; the next leader deletes those that are left after a failure. */
    fun delete(keys: List<String>) {
        if (keys.isEmpty()) return
        term.scope.launch {
            for (chunk in keys.chunked(term.limits.maxTxnOps)) {
                storeResultOrNull(log) { term.commit(emptyList(), chunk.map { Write.Delete(it) }) }
            }
        }
    }
}

/** One part of a job's completed tasks as it was at some moment, in its stored form. */
internal class CompletedTaskPart(val index: Int, val encoded: Map<String, Any?>) {
    /** Whether the part of [job] still is what it was. */
    fun isUnchanged(job: Job): Boolean = CompletedTasksCodec.encode(job.done, index) == encoded

    companion object {
        /** The parts of [job] that changed since they were last stored, at most [maxParts]. */
        fun changed(job: Job, maxParts: Int): List<CompletedTaskPart> {
            val parts = job.storedProgress.dirtyParts.stream().limit(maxParts.toLong()).toArray()
            return parts.map { CompletedTaskPart(it, CompletedTasksCodec.encode(job.done, it)) }
        }
    }
}

package linemast.jobs

import linemast.domain.JobProgress
import linemast.serialization.Fields
import linemast.serialization.JsonSize
import linemast.serialization.MalformedException

/**
 * The progress of jobs that a leader has stored for controllers which its statuses do not reach, for display only.
 *
 * @property atWallMicros when the leader counted, in microseconds of wall time.
 * @property progress task counts by job id; a job without an entry has no running task, or did not fit the stored value.
 */
class ProgressSnapshot(val atWallMicros: Long, val progress: Map<String, JobProgress>)

/** The stored form of a [ProgressSnapshot]; see docs/glossary.md for the names. */
object ProgressSnapshotCodec {
    /** The key in the store that holds the latest snapshot. */
    const val KEY = "progress"

    /** The size of a snapshot without jobs, with the longest time. */
    private const val FRAME_BYTES = 48

    /** The punctuation of an entry around the job id and the counts. */
    private const val SEPARATOR_BYTES = 2

    /** Returns the stored form of [snapshot], with as many jobs as fit [maxBytes] of JSON; those with running tasks come first. */
    fun encode(snapshot: ProgressSnapshot, maxBytes: Int): Map<String, Any?> {
        val entries = LinkedHashMap<String, Any?>()
        var freeBytes = maxBytes - FRAME_BYTES
        for ((id, counts) in snapshot.progress.entries.sortedBy { it.value.running == 0 }) {
            val encoded = listOf(counts.completed, counts.running)
            freeBytes -= JsonSize.of(id) + JsonSize.of(encoded) + SEPARATOR_BYTES
            if (freeBytes < 0) break
            entries[id] = encoded
        }
        return mapOf("at_us" to snapshot.atWallMicros, "jobs" to entries)
    }

    /** Decodes a stored snapshot; throws a [MalformedException] if it has another form. */
    fun decode(fields: Fields): ProgressSnapshot {
        val jobs = fields.child("jobs")
        return ProgressSnapshot(fields.long("at_us"), jobs.map.keys.associateWith { decodeCounts(jobs, it) })
    }

    private fun decodeCounts(jobs: Fields, id: String): JobProgress {
        val counts = jobs.list(id).map { (it as? Long)?.toInt() ?: jobs.fail(id, "must hold integers only") }
        if (counts.size != 2) jobs.fail(id, "must hold two counts")
        return JobProgress(counts[0], counts[1])
    }
}

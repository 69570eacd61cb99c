package linemast.scheduling

import linemast.leadership.CancellationFreshness

/**
 * The cancellations that other controllers have reported and that this leader may not have read from the store yet. A record of such
 * a job that the leader reads may be from before the cancellation.
 */
internal class UnreadCancellations {
    private val reportedMicros = HashMap<String, Long>()

    /** Adds the cancellation of the job with [id], which the store holds at [nowMicros]. */
    fun add(id: String, nowMicros: Long) {
        reportedMicros.putIfAbsent(id, nowMicros)
    }

    /** Whether the job with [id] is cancelled, whatever its record says. */
    operator fun contains(id: String): Boolean = id in reportedMicros

    /** Removes the cancellations that a read of the store has returned: those reported before the latest one was sent. */
    fun removeRead(freshness: CancellationFreshness) {
        val freshAsOfMicros = freshness.freshAsOfMicros ?: return
        reportedMicros.values.removeIf { it < freshAsOfMicros }
    }
}

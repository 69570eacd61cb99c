package linemast.transport

import kotlinx.coroutines.DisposableHandle
import java.util.PriorityQueue

/** The timers of an [EventLoop] by due time; timers due at the same time fire in the order in which they were scheduled. */
internal class TimerQueue {
    private val timers = PriorityQueue<Timer>()
    private var scheduledCount = 0L

    /** An action that runs once, when it is due, unless the timer is disposed of before. */
    class Timer internal constructor(internal val dueNanos: Long, private val sequenceNumber: Long, internal var action: Runnable?) :
        Comparable<Timer>,
        DisposableHandle {
        // Values of System.nanoTime() may overflow: only their differences can be compared.
        override fun compareTo(other: Timer): Int =
            if (dueNanos != other.dueNanos) (dueNanos - other.dueNanos).compareTo(0) else sequenceNumber.compareTo(other.sequenceNumber)

        /** Cancels the timer, which stays in the queue until it is due because removing it would cost more. */
        override fun dispose() {
            action = null
        }
    }

    /** Schedules [action] to run after [delayMillis]. */
    fun schedule(delayMillis: Long, action: Runnable): Timer {
        val delayNanos = delayMillis.coerceIn(0, MAX_DELAY_MILLIS) * NANOS_PER_MILLI
        return Timer(System.nanoTime() + delayNanos, scheduledCount++, action).also(timers::add)
    }

    /** Returns the nanoseconds until the next timer is due, 0 if it is due already, or [NO_TIMER] if there is none. */
    fun nanosUntilNext(): Long {
        val next = timers.peek() ?: return NO_TIMER
        return (next.dueNanos - System.nanoTime()).coerceAtLeast(0)
    }

    /** Runs the actions of all timers that are due. */
    fun fireDue() {
        if (timers.isEmpty()) return
        val nowNanos = System.nanoTime()
        while (true) {
            val next = timers.peek() ?: return
            if (next.dueNanos - nowNanos > 0) return
            timers.poll()
            next.action?.run()
        }
    }

    companion object {
        const val NO_TIMER = Long.MAX_VALUE
        const val NANOS_PER_MILLI = 1_000_000L
        private const val MAX_DELAY_MILLIS = 30L * 24 * 3_600 * 1_000
    }
}

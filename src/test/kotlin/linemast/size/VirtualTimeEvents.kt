package linemast.size

import java.util.PriorityQueue

/** Events in virtual time, in the order in which they are due; those that are due together in the order of their scheduling. */
internal class VirtualTimeEvents(startMicros: Long) {
    private class Event(val atMicros: Long, val sequenceNumber: Long, val action: () -> Unit) : Comparable<Event> {
        override fun compareTo(other: Event) = compareValuesBy(this, other, { it.atMicros }, { it.sequenceNumber })
    }

    private val queue = PriorityQueue<Event>()
    private var nextSequenceNumber = 0L

    /** The time of the event that runs, or that ran last. */
    var nowMicros = startMicros
        private set

    /** Runs [action] after [afterMicros]. */
    fun schedule(afterMicros: Long, action: () -> Unit) {
        queue.add(Event(nowMicros + afterMicros, nextSequenceNumber++, action))
    }

    /** Runs all events up to [micros]; that is the time afterwards. */
    fun runUntil(micros: Long) {
        while (queue.isNotEmpty() && queue.peek().atMicros <= micros) {
            val event = queue.poll()
            nowMicros = event.atMicros
            event.action()
        }
        nowMicros = micros
    }
}

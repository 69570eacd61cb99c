package linemast.size

import java.util.PriorityQueue

/**
 * Runs events in virtual time, in the order in which they are due. Events that are due at the same time run in the order in which they
 * were scheduled.
 */
internal class VirtualTimeEvents(startMicros: Long) {
    private class Event(val atMicros: Long, val sequenceNumber: Long, val action: () -> Unit) : Comparable<Event> {
        override fun compareTo(other: Event) = compareValuesBy(this, other, { it.atMicros }, { it.sequenceNumber })
    }

    private val queue = PriorityQueue<Event>()
    private var nextSequenceNumber = 0L

    /** The virtual time: that of the event that runs, or the end of the last [runUntil]. */
    var nowMicros = startMicros
        private set

    /** Schedules [action] to run after [afterMicros]. */
    fun schedule(afterMicros: Long, action: () -> Unit) {
        queue.add(Event(nowMicros + afterMicros, nextSequenceNumber++, action))
    }

    /** Runs all events that are due up to [micros] and sets the virtual time to [micros]. */
    fun runUntil(micros: Long) {
        while (queue.isNotEmpty() && queue.peek().atMicros <= micros) {
            val event = queue.poll()
            nowMicros = event.atMicros
            event.action()
        }
        nowMicros = micros
    }
}

package linemast.transport

import linemast.time.SECOND_MICROS
import linemast.time.SteadyClock

/** The open connections of an [HttpServer]: which ones are idle, and which ones have not been used for long. */
internal class ServerConnections {
    /** When each connection last began to wait for a request: one check of all is cheaper than a timer for each. */
    private val waitingSinceMicros = HashMap<Connection, Long>()

    /** Connections that wait for a request, the longest idle first. */
    private val idle = LinkedHashSet<Connection>()

    /** [connection] is open and waits for a request. */
    fun recordIdle(connection: Connection) {
        waitingSinceMicros[connection] = SteadyClock.nowMicros()
        idle += connection
    }

    /** The head of a request has arrived on [connection]. */
    fun recordRequestStarted(connection: Connection) {
        idle -= connection
    }

    /** [connection] is closed, or about to be. */
    fun remove(connection: Connection) {
        waitingSinceMicros.remove(connection)
        idle -= connection
    }

    /** Closes connections that have been idle for long, or send their request too slowly. */
    fun closeExpired() {
        val cutoffMicros = SteadyClock.nowMicros() - MAX_WAIT_MICROS
        waitingSinceMicros.filterValues { it < cutoffMicros }.keys.forEach(Connection::close)
    }

    /**
     * Closes the connection that has been idle for longest; false if none is idle.
     *
     * Its client connects again with the next request. A connection of whose request bytes have been read is left alone; to
     * look for unread ones would take them from the coroutine that waits for them.
     */
    fun closeLongestIdle(): Boolean {
        val longestIdle = idle.firstOrNull { it.available == 0 } ?: return false
        idle -= longestIdle
        longestIdle.close()
        return true
    }

    private companion object {
        const val MAX_WAIT_MICROS = 120 * SECOND_MICROS
    }
}

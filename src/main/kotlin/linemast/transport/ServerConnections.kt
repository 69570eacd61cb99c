package linemast.transport

import linemast.time.SECOND_MICROS
import linemast.time.SteadyClock

/** The open connections of an [HttpServer]; closes those without a completed request for too long, and on demand the longest idle one. */
internal class ServerConnections {
    /** When each connection last began to wait for a request. One check of all connections is cheaper than a timer for each. */
    private val waitingSinceMicros = HashMap<Connection, Long>()

    /** Connections that wait for a request, the longest idle first. */
    private val idle = LinkedHashSet<Connection>()

    /** Records that [connection] is open and waits for a request. */
    fun recordIdle(connection: Connection) {
        waitingSinceMicros[connection] = SteadyClock.nowMicros()
        idle += connection
    }

    /** Records that the request line and headers of a request have arrived on [connection]. */
    fun recordRequestStarted(connection: Connection) {
        idle -= connection
    }

    /** Removes [connection], which is closed or about to be closed. */
    fun remove(connection: Connection) {
        waitingSinceMicros.remove(connection)
        idle -= connection
    }

    /** Closes connections on which no request was completed within [MAX_WAIT_MICROS]: they are idle or send their request too slowly. */
    fun closeExpired() {
        val cutoffMicros = SteadyClock.nowMicros() - MAX_WAIT_MICROS
        waitingSinceMicros.filterValues { it < cutoffMicros }.keys.forEach(Connection::close)
    }

    /**
     * Closes the connection that has been idle for longest; returns false if none is idle.
     *
     * Its client reconnects with the next request. A connection from which part of a request has been read is left open. The
     * socket is not checked for unread bytes: reading them would take them from the coroutine that waits for them.
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

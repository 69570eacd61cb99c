package linemast.transport

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.sockets.Socket
import java.io.Closeable
import java.io.EOFException
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel

/**
 * A TCP connection that is read and written directly by the coroutines of an [EventLoop]: no other coroutine copies the bytes
 * in between.
 *
 * Reads and writes throw an IOException when the connection is broken or closed.
 */
class Connection(private val socket: Socket, private val loop: EventLoop) : Closeable {
    private val selectable = socket as Selectable
    private val channel = selectable.channel as SocketChannel

    /** Holds the received bytes that have not been taken, from index [start] (inclusive) to index [end] (exclusive). */
    private var buffer = EMPTY
    private var start = 0
    private var end = 0

    /** Number of received bytes that have not been taken. */
    val available: Int get() = end - start

    /** Waits for more bytes and adds them to the available ones; returns false if the remote side has ended the stream. */
    suspend fun fill(): Boolean {
        while (true) {
            loop.select(selectable, SelectInterest.READ)
            val received = loop.receiveBuffer
            received.clear()
            val count = channel.read(received)
            if (count < 0) return false
            if (count == 0) continue
            received.flip()
            append(received)
            return true
        }
    }

    private fun append(received: ByteBuffer) {
        val unread = available
        val needed = unread + received.remaining()
        if (unread == 0 || needed > buffer.size - start) {
            // A buffer without unread bytes becomes as large as the bytes received, so that an idle connection holds no memory.
            val grown = if (unread == 0) ByteArray(needed) else ByteArray(maxOf(needed, unread * 2))
            buffer.copyInto(grown, 0, start, end)
            buffer = grown
            start = 0
            end = unread
        }
        val count = received.remaining()
        received.get(buffer, end, count)
        end += count
    }

    /** Returns the first index at or after [from] at which [pattern] begins among the available bytes; -1 if there is none. */
    fun indexOf(pattern: ByteArray, from: Int): Int {
        for (at in from..available - pattern.size) {
            if (pattern.indices.all { buffer[start + at + it] == pattern[it] }) return at
        }
        return -1
    }

    /** Removes and returns the first [count] available bytes. */
    fun take(count: Int): ByteArray {
        val taken = buffer.copyOfRange(start, start + count)
        start += count
        if (start == end) {
            buffer = EMPTY
            start = 0
            end = 0
        }
        return taken
    }

    /** Waits for the next [count] bytes, removes and returns them; throws an EOFException if the stream ends before. */
    suspend fun read(count: Int): ByteArray {
        while (available < count) if (!fill()) throw EOFException("the stream ended before all expected bytes had arrived")
        return take(count)
    }

    /** Writes [message] completely; waits while the socket cannot accept more bytes. */
    suspend fun write(message: ByteArray) {
        val remaining = ByteBuffer.wrap(message)
        channel.write(remaining)
        while (remaining.hasRemaining()) {
            loop.select(selectable, SelectInterest.WRITE)
            channel.write(remaining)
        }
    }

    /**
     * Whether the connection can be reused: neither bytes nor the end of the stream have arrived after the last message.
     *
     * The check reads from the socket and discards what it finds, so a connection that is not reusable must be closed.
     */
    fun isReusable(): Boolean {
        if (available > 0) return false
        val received = loop.receiveBuffer
        received.clear()
        return runCatching { channel.read(received) }.getOrDefault(-1) == 0
    }

    override fun close() = socket.close()

    private companion object {
        val EMPTY = ByteArray(0)
    }
}

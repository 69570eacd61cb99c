package linemast.transport

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.sockets.Socket
import java.io.Closeable
import java.io.EOFException
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel

/** The bytes of one TCP connection, read and written by the coroutines of an [EventLoop] without copying coroutines between. */
class Connection(private val socket: Socket, private val loop: EventLoop) : Closeable {
    private val selectable = socket as Selectable
    private val channel = selectable.channel as SocketChannel
    private var bytes = EMPTY
    private var from = 0
    private var to = 0

    /** Received bytes that have not been taken. */
    val available: Int get() = to - from

    /** Waits for more bytes; false when the other side has ended. */
    suspend fun fill(): Boolean {
        while (true) {
            loop.select(selectable, SelectInterest.READ)
            val scratch = loop.scratch
            scratch.clear()
            val count = channel.read(scratch)
            if (count < 0) return false
            if (count == 0) continue
            scratch.flip()
            append(scratch)
            return true
        }
    }

    private fun append(more: ByteBuffer) {
        val kept = available
        val needed = kept + more.remaining()
        if (kept == 0 || needed > bytes.size - from) {
            // A connection at rest holds no memory: its bytes are as many as came.
            val grown = if (kept == 0) ByteArray(needed) else ByteArray(maxOf(needed, kept * 2))
            bytes.copyInto(grown, 0, from, to)
            bytes = grown
            from = 0
            to = kept
        }
        val count = more.remaining()
        more.get(bytes, to, count)
        to += count
    }

    /** Where [pattern] begins among the available bytes, at [start] or later; -1 if nowhere. */
    fun indexOf(pattern: ByteArray, start: Int): Int {
        for (at in start..available - pattern.size) {
            if (pattern.indices.all { bytes[from + at + it] == pattern[it] }) return at
        }
        return -1
    }

    /** Takes [count] available bytes. */
    fun take(count: Int): ByteArray {
        val taken = bytes.copyOfRange(from, from + count)
        from += count
        if (from == to) {
            bytes = EMPTY
            from = 0
            to = 0
        }
        return taken
    }

    /** The next [count] bytes. */
    suspend fun read(count: Int): ByteArray {
        while (available < count) if (!fill()) throw EOFException("the connection ended early")
        return take(count)
    }

    /** Writes all of [message]. */
    suspend fun write(message: ByteArray) {
        val buffer = ByteBuffer.wrap(message)
        channel.write(buffer)
        while (buffer.hasRemaining()) {
            loop.select(selectable, SelectInterest.WRITE)
            channel.write(buffer)
        }
    }

    /** Whether nothing has come since the last message, not even the end: a kept connection can be used again. */
    fun isAtRest(): Boolean {
        if (available > 0) return false
        val scratch = loop.scratch
        scratch.clear()
        return runCatching { channel.read(scratch) }.getOrDefault(-1) == 0
    }

    override fun close() = socket.close()

    private companion object {
        val EMPTY = ByteArray(0)
    }
}

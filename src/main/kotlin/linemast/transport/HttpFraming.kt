package linemast.transport

import io.ktor.http.cio.HttpHeadersMap
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.decodeChunked
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.readRemaining
import io.ktor.utils.io.writeByteArray
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.io.readByteArray
import linemast.serialization.MalformedException

/** Reads the first line and the headers of the next message; returns null if the stream ends before they are complete. */
internal suspend fun readHead(connection: Connection): ByteArray? {
    var searched = 0
    while (true) {
        val end = connection.indexOf(HEAD_END, searched)
        if (end >= 0) return connection.take(end + HEAD_END.size)
        if (connection.available > MAX_HEAD_BYTES) throw MalformedException("the head of the message (first line and headers) is too long")
        searched = (connection.available - HEAD_END.size).coerceAtLeast(0)
        if (!connection.fill()) return null
    }
}

/** Reads the body that [headers] announce; returns null if it exceeds [limit] bytes or if its length or encoding is invalid. */
internal suspend fun readBody(connection: Connection, headers: HttpHeadersMap, limit: Int): ByteArray? {
    val transferEncoding = headers["Transfer-Encoding"]
    if (transferEncoding != null) {
        val isChunked = transferEncoding.toString().equals("chunked", ignoreCase = true)
        return if (isChunked) readChunked(connection, limit) else null
    }
    val contentLength = headers["Content-Length"]?.toString() ?: return ByteArray(0)
    val length = contentLength.toLongOrNull() ?: return null
    if (length < 0 || length > limit) return null
    return connection.read(length.toInt())
}

private suspend fun readChunked(connection: Connection, limit: Int): ByteArray? = coroutineScope {
    val raw = ByteChannel(autoFlush = true)
    val feeder = launch {
        do raw.writeByteArray(connection.take(connection.available)) while (connection.fill())
        raw.close()
    }
    val decoded = decodeChunked(raw, -1L)
    val bytes = decoded.channel.readRemaining(limit + 1L).readByteArray()
    feeder.cancel()
    if (bytes.size > limit) {
        decoded.channel.cancel(null)
        null
    } else {
        bytes
    }
}

/** Encodes a whole message as one array, so that one system call sends it. */
internal inline fun encodeMessage(write: RequestResponseBuilder.() -> Unit): ByteArray {
    val builder = RequestResponseBuilder()
    return try {
        builder.write()
        builder.build().readByteArray()
    } finally {
        builder.release()
    }
}

/** Whether [headers] announce that the connection is closed after this message. */
internal fun closesConnection(headers: HttpHeadersMap): Boolean =
    headers["Connection"]?.toString()?.equals("close", ignoreCase = true) == true

internal const val CBOR_TYPE = "application/cbor"
private const val MAX_HEAD_BYTES = 8 * 1024
private val HEAD_END = "\r\n\r\n".encodeToByteArray()

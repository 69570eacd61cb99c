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
import linemast.serialization.Cbor
import linemast.serialization.MalformedException

/** What the protocol page allows for a request body, and for a response to workers and users. */
const val MAX_BODY_BYTES = 64 * 1024

/** A request with its whole body. */
class HttpRequest(val method: String, val path: String, val query: String, val body: ByteArray)

/** A response to a request. */
class HttpResponse(
    val status: Int,
    val body: ByteArray = EMPTY,
    val retryAfterSeconds: Int? = null,
    /** Decided when the bytes are about to leave: a false answer turns the response into a 503. */
    val stillValid: () -> Boolean = { true },
) {
    companion object {
        private val EMPTY = ByteArray(0)

        /** A response whose body is a map of [fields]. */
        fun of(status: Int, vararg fields: Pair<String, Any?>) = HttpResponse(status, Cbor.encode(mapOf(*fields)))

        /** Turned away for now: says when to come back, and says it at once. */
        fun unavailable(retryAfterSeconds: Int = 1) = HttpResponse(HttpStatus.SERVICE_UNAVAILABLE, retryAfterSeconds = retryAfterSeconds)
    }
}

/** The bytes of the next message's first line and headers; null when the other side has ended instead. */
internal suspend fun readHead(connection: Connection): ByteArray? {
    var searched = 0
    while (true) {
        val end = connection.indexOf(HEAD_END, searched)
        if (end >= 0) return connection.take(end + HEAD_END.size)
        if (connection.available > MAX_HEAD_BYTES) throw MalformedException("the head is too long")
        searched = (connection.available - HEAD_END.size).coerceAtLeast(0)
        if (!connection.fill()) return null
    }
}

/** The body announced by [headers]; null if it is larger than [limit] or its length makes no sense. */
internal suspend fun readBody(connection: Connection, headers: HttpHeadersMap, limit: Int): ByteArray? {
    val coding = headers["Transfer-Encoding"]
    if (coding != null) return if (coding.toString().equals("chunked", ignoreCase = true)) readChunked(connection, limit) else null
    val announced = headers["Content-Length"]?.toString() ?: return ByteArray(0)
    val length = announced.toLongOrNull() ?: return null
    if (length < 0 || length > limit) return null
    return connection.read(length.toInt())
}

private suspend fun readChunked(connection: Connection, limit: Int): ByteArray? = coroutineScope {
    val raw = ByteChannel(autoFlush = true)
    val feed = launch {
        do raw.writeByteArray(connection.take(connection.available)) while (connection.fill())
        raw.close()
    }
    val decoded = decodeChunked(raw, -1L)
    val bytes = decoded.channel.readRemaining(limit + 1L).readByteArray()
    feed.cancel()
    if (bytes.size > limit) {
        decoded.channel.cancel(null)
        null
    } else {
        bytes
    }
}

/** The bytes of a whole message, so that it leaves in one call. */
internal inline fun message(write: RequestResponseBuilder.() -> Unit): ByteArray {
    val builder = RequestResponseBuilder()
    return try {
        builder.write()
        builder.build().readByteArray()
    } finally {
        builder.release()
    }
}

internal fun asksToClose(headers: HttpHeadersMap): Boolean = headers["Connection"]?.toString()?.equals("close", ignoreCase = true) == true

internal const val CBOR_TYPE = "application/cbor"
private const val MAX_HEAD_BYTES = 8 * 1024
private val HEAD_END = "\r\n\r\n".encodeToByteArray()

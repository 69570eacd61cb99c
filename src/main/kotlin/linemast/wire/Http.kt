package linemast.wire

import io.ktor.http.cio.HttpHeadersMap
import io.ktor.http.cio.decodeChunked
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.coroutineScope
import kotlinx.io.readByteArray

/** What the protocol page allows for a request body, and for a response to workers and users. */
const val MAX_BODY_BYTES = 64 * 1024

class HttpRequest(val method: String, val path: String, val query: String, val body: ByteArray)

class HttpResponse(
    val status: Int,
    val body: ByteArray = EMPTY,
    val retryAfterSeconds: Int? = null,
    /** Decided when the bytes are about to leave: a false answer turns the response into a 503. */
    val stillValid: () -> Boolean = { true },
) {
    companion object {
        private val EMPTY = ByteArray(0)

        fun of(status: Int, vararg fields: Pair<String, Any?>) = HttpResponse(status, Cbor.encode(mapOf(*fields)))

        /** Turned away for now: says when to come back, and says it at once. */
        fun unavailable(retryAfterSeconds: Int = 1) = HttpResponse(503, retryAfterSeconds = retryAfterSeconds)
    }
}

/** The body announced by [headers]; null if it is larger than [limit] or its length makes no sense. */
internal suspend fun readBody(input: ByteReadChannel, headers: HttpHeadersMap, limit: Int): ByteArray? {
    val coding = headers["Transfer-Encoding"]
    if (coding != null) {
        if (!coding.toString().equals("chunked", ignoreCase = true)) return null
        return coroutineScope {
            val decoded = decodeChunked(input, -1L)
            val bytes = decoded.channel.readRemaining(limit + 1L).readByteArray()
            if (bytes.size > limit) {
                decoded.channel.cancel(null)
                null
            } else {
                bytes
            }
        }
    }
    val announced = headers["Content-Length"]?.toString() ?: return ByteArray(0)
    val length = announced.toLongOrNull() ?: return null
    if (length < 0 || length > limit) return null
    return if (length == 0L) ByteArray(0) else input.readByteArray(length.toInt())
}

internal fun asksToClose(headers: HttpHeadersMap): Boolean =
    headers["Connection"]?.toString()?.equals("close", ignoreCase = true) == true

internal const val CBOR_TYPE = "application/cbor"

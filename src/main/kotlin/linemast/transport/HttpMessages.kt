package linemast.transport

import linemast.serialization.Cbor
import linemast.serialization.Fields

/** Largest request body that is taken, and largest response to workers and users, as the protocol sets them. */
const val MAX_BODY_BYTES = 64 * 1024

/**
 * A request that this process received, with its whole body.
 *
 * @property method method, such as `GET`.
 * @property path path without the query.
 * @property query text behind the question mark; empty if there is none.
 * @property body body, empty if there is none.
 */
class HttpRequest(val method: String, val path: String, val query: String, val body: ByteArray)

/**
 * A response to a request that this process received.
 *
 * @property status HTTP status code.
 * @property body encoded body, empty if there is none.
 * @property retryAfterSeconds when the client is to try again; null leaves the header out.
 * @property isStillValid decided when the bytes are about to leave: false turns the response into a 503.
 */
class HttpResponse(
    val status: Int,
    val body: ByteArray = EMPTY,
    val retryAfterSeconds: Int? = null,
    val isStillValid: () -> Boolean = { true },
) {
    companion object {
        private val EMPTY = ByteArray(0)

        /** A response whose body is a map of [fields]. */
        fun of(status: Int, vararg fields: Pair<String, Any?>) = HttpResponse(status, Cbor.encode(mapOf(*fields)))

        /** A 503: the request was not executed, and may be repeated in [retryAfterSeconds]. */
        fun unavailable(retryAfterSeconds: Int = 1) = HttpResponse(HttpStatus.SERVICE_UNAVAILABLE, retryAfterSeconds = retryAfterSeconds)
    }
}

/** The reply to a request that this process sent: its HTTP [status] code, and its [body], empty if there is none. */
class HttpClientResponse(val status: Int, val body: ByteArray) {
    /** The body, which has to be a map; throws a MalformedException otherwise. */
    fun fields(): Fields = Cbor.decodeMap(body)
}

package linemast.transport

import linemast.serialization.Cbor
import linemast.serialization.Fields

/** Size of the largest accepted request body and of the largest response to workers and users, as the protocol defines it. */
const val MAX_BODY_BYTES = 64 * 1024

/**
 * A request that this process received, with its complete body.
 *
 * @property method method, such as `GET`.
 * @property path path without the query.
 * @property query text after the question mark; empty if there is none.
 * @property body body, empty if there is none.
 */
class HttpRequest(val method: String, val path: String, val query: String, val body: ByteArray)

/**
 * A response to a request that this process received.
 *
 * @property status HTTP status code.
 * @property body encoded body, empty if there is none.
 * @property retryAfterSeconds seconds after which the client should retry; null omits the header.
 * @property isStillValid evaluated just before the response is sent; if it returns false, a 503 is sent instead.
 */
class HttpResponse(
    val status: Int,
    val body: ByteArray = EMPTY,
    val retryAfterSeconds: Int? = null,
    val isStillValid: () -> Boolean = { true },
) {
    companion object {
        private val EMPTY = ByteArray(0)

        /** Returns a response whose body is a map of [fields]. */
        fun of(status: Int, vararg fields: Pair<String, Any?>) = HttpResponse(status, Cbor.encode(mapOf(*fields)))

        /** Returns a 503: the request was not executed, and may be retried after [retryAfterSeconds]. */
        fun unavailable(retryAfterSeconds: Int = 1) = HttpResponse(HttpStatus.SERVICE_UNAVAILABLE, retryAfterSeconds = retryAfterSeconds)
    }
}

/** The response to a request that this process sent: its HTTP [status] code and its [body], empty if there is none. */
class HttpClientResponse(val status: Int, val body: ByteArray) {
    /** Decodes the body, which must be a map; throws a MalformedException otherwise. */
    fun fields(): Fields = Cbor.decodeMap(body)
}

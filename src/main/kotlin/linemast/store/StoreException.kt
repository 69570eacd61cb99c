package linemast.store

import linemast.serialization.MalformedException

/** Thrown when a call to the key-value store returns no result; each subtype stands for one cause. */
sealed class StoreException(message: String, cause: Throwable? = null) : Exception(message, cause) {
    /** Whether the store may have executed the request or may still execute it; false if the store certainly never executes it. */
    abstract val mayHaveExecuted: Boolean

    /** The store responded with the HTTP error [status]: it did not execute the request. */
    class ErrorStatus(val status: Int) : StoreException("the key-value store responded with HTTP status $status") {
        override val mayHaveExecuted get() = false
    }

    /** The call was not sent: this controller's rate limiter had no token for it within the queue timeout of its priority. */
    class RateLimited : StoreException("call not sent: the rate limiter of this controller had no token within the queue timeout") {
        override val mayHaveExecuted get() = false
    }

    /** No usable response arrived: the call timed out or its connection failed. */
    class NoResponse(message: String) : StoreException(message) {
        override val mayHaveExecuted get() = true
    }

    /** The store responded with success, but the body does not conform to the protocol. */
    class MalformedResponse(cause: MalformedException) :
        StoreException("malformed response from the key-value store: ${cause.message}", cause) {
        override val mayHaveExecuted get() = true
    }

    /** A stored record cannot be decoded. */
    class MalformedRecord : StoreException("a record in the store is malformed") {
        override val mayHaveExecuted get() = false
    }

    /** A read was aborted before its result was known: it timed out, or the controller is stopping. */
    class ReadAborted(message: String) : StoreException(message) {
        override val mayHaveExecuted get() = false
    }
}

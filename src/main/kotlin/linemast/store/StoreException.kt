package linemast.store

import linemast.serialization.MalformedException

/** A call to the key-value store that gave no result; the subtypes say why. */
sealed class StoreException(message: String, cause: Throwable? = null) : Exception(message, cause) {
    /** Whether the store may have executed the request, or may still do so; false if it surely never will. */
    abstract val mayHaveExecuted: Boolean

    /** The store answered with the HTTP [status], which stands for an error: it did not execute the request. */
    class ErrorStatus(val status: Int) : StoreException("the key-value store answered $status") {
        override val mayHaveExecuted get() = false
    }

    /** The call was not sent: this controller's rate limit had no room for it within the queue timeout of its priority. */
    class RateLimited : StoreException("no token within the queue timeout") {
        override val mayHaveExecuted get() = false
    }

    /** No answer arrived, in time or at all. */
    class NoResponse(message: String) : StoreException(message) {
        override val mayHaveExecuted get() = true
    }

    /** The store answered with success, but with a body that does not follow its protocol. */
    class MalformedResponse(cause: MalformedException) :
        StoreException("malformed answer from the key-value store: ${cause.message}", cause) {
        override val mayHaveExecuted get() = true
    }

    /** A stored record does not have the form of its codec. */
    class MalformedRecord : StoreException("malformed record") {
        override val mayHaveExecuted get() = false
    }

    /** A read ended before its answer was there: its time was over, or the controller stops. */
    class ReadAborted(message: String) : StoreException(message) {
        override val mayHaveExecuted get() = false
    }
}

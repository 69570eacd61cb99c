package linemast.cloud

/** Thrown when a cloud action has no result; the subclasses tell why. */
sealed class CloudException(message: String, cause: Throwable? = null) : Exception(message, cause) {
    /** No response arrived in time: the call may or may not have been carried out. */
    class NoResponse(message: String, cause: Throwable? = null) : CloudException(message, cause)

    /** The cloud responded with the error status [status]. */
    class ErrorStatus(val status: Int, message: String) : CloudException(message)

    /** The response does not have the form that the protocol defines. */
    class MalformedResponse(message: String, cause: Throwable? = null) : CloudException(message, cause)

    /** The controller must not begin or continue the action now; subclasses tell why. */
    abstract class NotPermitted(message: String) : CloudException(message)
}

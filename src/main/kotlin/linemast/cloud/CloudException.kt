package linemast.cloud

/** Why a cloud action has no result. */
sealed class CloudException(message: String, cause: Throwable? = null) : Exception(message, cause) {
    /** No answer arrived in time: the call may or may not have been carried out. */
    class NoResponse(message: String, cause: Throwable? = null) : CloudException(message, cause)

    /** The cloud answered with the error status [status]. */
    class ErrorStatus(val status: Int, message: String) : CloudException(message)

    /** The answer does not have the form that the protocol gives it. */
    class MalformedResponse(message: String, cause: Throwable? = null) : CloudException(message, cause)

    /** The controller may not begin or continue the action now; subclasses say why. */
    abstract class NotPermitted(message: String) : CloudException(message)
}

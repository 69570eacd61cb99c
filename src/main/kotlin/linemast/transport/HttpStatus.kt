package linemast.transport

/** The HTTP status codes that controllers, workers, users, the cloud and the key-value store exchange. */
object HttpStatus {
    const val OK = 200
    const val CREATED = 201
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
    const val CONFLICT = 409
    const val GONE = 410
    const val MISDIRECTED_REQUEST = 421
    const val UNPROCESSABLE_CONTENT = 422
    const val TOO_MANY_REQUESTS = 429
    const val SERVICE_UNAVAILABLE = 503

    /** The reason phrase of [status]. */
    fun reason(status: Int): String = when (status) {
        OK -> "OK"
        CREATED -> "Created"
        BAD_REQUEST -> "Bad Request"
        NOT_FOUND -> "Not Found"
        MISDIRECTED_REQUEST -> "Misdirected Request"
        UNPROCESSABLE_CONTENT -> "Unprocessable Content"
        TOO_MANY_REQUESTS -> "Too Many Requests"
        SERVICE_UNAVAILABLE -> "Service Unavailable"
        else -> "Status"
    }
}

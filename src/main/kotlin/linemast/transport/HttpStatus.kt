package linemast.transport

/** The HTTP status codes that controllers, workers, users, the cloud and the key-value store exchange. */
object HttpStatus {
    /** The request was executed. */
    const val OK = 200

    /** A submission was accepted by this request. */
    const val CREATED = 201

    /** The request is malformed; the client does not retry it. */
    const val BAD_REQUEST = 400

    /** There is no such job, key, lease or path. */
    const val NOT_FOUND = 404

    /** A precondition of a transaction did not hold. */
    const val CONFLICT = 409

    /** The store no longer has all changes that a watch requests. */
    const val GONE = 410

    /** A worker's heartbeat reached a controller that is not the leader. */
    const val MISDIRECTED_REQUEST = 421

    /** The job can never run and is rejected. */
    const val UNPROCESSABLE_CONTENT = 422

    /** A request limit is exceeded; the request may be retried after a wait. */
    const val TOO_MANY_REQUESTS = 429

    /** The request was not executed and may be retried. */
    const val SERVICE_UNAVAILABLE = 503

    /** Returns the reason phrase of [status]. */
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

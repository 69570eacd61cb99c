package linemast.jobs

import linemast.serialization.Cbor
import linemast.transport.HttpResponse
import linemast.transport.HttpStatus

/** Encodes responses to users as HTTP responses; docs/glossary.md explains the names of the fields. */
internal object JobResponseCodec {
    private val stateNames = mapOf(
        JobState.PENDING to "pending",
        JobState.RUNNING to "running",
        JobState.DONE to "done",
        JobState.CANCELLED to "withdrawn",
    )

    /** Encodes [response] as a status code and a body. */
    fun encode(response: JobResponse): HttpResponse = when (response) {
        is JobResponse.Accepted -> HttpResponse(HttpStatus.CREATED, encodeAccepted(response))
        is JobResponse.Status -> HttpResponse(HttpStatus.OK, encodeStatus(response))
        is JobResponse.Rejected -> HttpResponse(HttpStatus.UNPROCESSABLE_CONTENT, Cbor.encode(mapOf("error" to response.reason)))
        is JobResponse.Deferred -> HttpResponse(HttpStatus.TOO_MANY_REQUESTS, retryAfterSeconds = response.retryAfterSeconds)
        JobResponse.NotFound -> HttpResponse(HttpStatus.NOT_FOUND)
        JobResponse.Unavailable -> HttpResponse.unavailable()
    }

    private fun encodeAccepted(response: JobResponse.Accepted): ByteArray =
        Cbor.encode(mapOf("name_id" to response.id, "status" to stateNames.getValue(response.state)))

    private fun encodeStatus(response: JobResponse.Status): ByteArray = Cbor.encode(
        mapOf(
            "name_id" to response.id,
            "status" to stateNames.getValue(response.state),
            "done" to response.progress.completed,
            "running" to response.progress.running,
        ),
    )
}

package linemast.app

import linemast.jobs.JobService
import linemast.transport.HttpRequest
import linemast.transport.HttpResponse
import linemast.transport.HttpStatus

/** Routes the requests of users, workers and the load balancer to their handlers. */
internal class RequestRouter(
    private val healthCheck: HealthCheck,
    private val heartbeatEndpoint: HeartbeatEndpoint,
    private val jobService: JobService,
) {
    /** Returns the response to [request]; 404 if no handler exists for its method and path. */
    suspend fun route(request: HttpRequest): HttpResponse = when (request.path) {
        "/healthz" -> if (request.method == "GET") healthCheck.respond() else notFound()
        "/agent/beat" -> if (request.method == "POST") heartbeatEndpoint.respond(request) else notFound()
        else -> jobService.handle(request) ?: notFound()
    }

    private fun notFound() = HttpResponse(HttpStatus.NOT_FOUND)
}

package linemast.app

import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.serialization.Cbor
import linemast.time.SECOND_MICROS
import linemast.transport.EventLoop
import linemast.transport.HttpClient
import linemast.transport.HttpServer
import kotlin.coroutines.coroutineContext

/**
 * The training run for the class-data archive of the JVM: one controller on loopback runs the common code paths once, with a
 * stand-in store and cloud, so that the archive written at exit contains the classes of these paths. A cold start, which has a
 * small share of a core, then spends little of it on loading classes.
 */
internal object ArchiveTraining {
    private const val JOB_ID = "req-000001"
    private const val STARTUP_MILLIS = 400L
    private const val ROUNDS = 8
    private const val ROUND_MILLIS = 120L
    private const val STAND_IN_CONNECTIONS = 64
    private const val CLIENT_CONNECTIONS = 4

    /** The worker's task is reported as running before this round, and as ended from this round on. */
    private const val TASK_END_ROUND = 5

    /** Runs for about one and a half seconds; returns the exit code of the process. */
    fun run(): Int {
        val loop = EventLoop()
        loop.run {
            val standInAddress = freeLoopbackAddress()
            val configuration = trainingConfiguration(standInAddress)
            val services = StandInServices()
            launch { HttpServer(loop, standInAddress, STAND_IN_CONNECTIONS, services::respond).serve(this) }
            launch { Controller(configuration, loop).run() }
            sendRequests(HttpClient(loop, configuration.settings.listenAddress, CLIENT_CONNECTIONS))
            coroutineContext.cancelChildren()
        }
        return 0
    }

    private suspend fun sendRequests(client: HttpClient) {
        delay(STARTUP_MILLIS)
        for (round in 1..ROUNDS) {
            post(client, "/v1/jobs", jobBody())
            get(client, "/v1/jobs/$JOB_ID")
            get(client, "/healthz")
            post(client, "/agent/beat", heartbeatBody(round))
            delay(ROUND_MILLIS)
        }
        post(client, "/v1/jobs/$JOB_ID/cancel", emptyMap())
    }

    private suspend fun get(client: HttpClient, path: String) {
        client.call("GET", path, null, SECOND_MICROS)
    }

    private suspend fun post(client: HttpClient, path: String, body: Map<String, Any?>) {
        client.call("POST", path, Cbor.encode(body), SECOND_MICROS)
    }

    private fun jobBody(): Map<String, Any?> = mapOf(
        "name_id" to JOB_ID, "lane" to "lane", "crew" to "team", "shape" to "sweep", "urgency" to "normal",
        "pieces" to 3, "vcpus" to 1.0, "gpus" to 0.0, "memory_gb" to 1.0, "bundle" to "img", "pull_gb" to 1.0,
        "builds" to null, "yard" to null, "same_place" to false, "apart" to false, "loaners" to true,
        "guess_s" to 10.0, "mark_every_s" to 0.0, "mark_s" to 0.0, "due_s" to 60.0,
    )

    private fun heartbeatBody(round: Int): Map<String, Any?> = mapOf(
        "rig" to "host-000001", "addr" to "127.0.0.1:9", "build" to "type", "yard" to "zone", "loaners" to false,
        "watch" to 1, "tick" to round, "helm" to 1, "recall_s" to null,
        "pieces" to listOf(
            mapOf("piece" to "$JOB_ID/0", "try" to 1, "status" to if (round < TASK_END_ROUND) "running" else "ended", "cause" to "done"),
        ),
    )
}

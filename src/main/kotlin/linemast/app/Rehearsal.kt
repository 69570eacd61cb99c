package linemast.app

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.serialization.Cbor
import linemast.serialization.Fields
import linemast.settings.AdmissionSettings
import linemast.settings.DutySettings
import linemast.settings.FeatureFile
import linemast.settings.Features
import linemast.settings.Policy
import linemast.settings.RecoverySettings
import linemast.settings.Settings
import linemast.settings.SettingsReader
import linemast.time.SECOND_MICROS
import linemast.transport.Address
import linemast.transport.EventLoop
import linemast.transport.HttpClient
import linemast.transport.HttpRequest
import linemast.transport.HttpResponse
import linemast.transport.HttpServer
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.coroutines.coroutineContext

/**
 * Runs the program's usual paths once on loopback, so that the class-data archive written at its end holds
 * their classes: a cold start then spends its small share of a core on little but its work.
 */
internal object Rehearsal {
    private const val RIG = "host-000001"
    private const val JOB = "req-000001"

    fun run(): Int {
        val loop = EventLoop()
        loop.run {
            val outside = freeAddress()
            val settings = settings(outside)
            val store = RehearsalStore()
            launch { HttpServer(loop, outside, 64, store::answer).serve(this) }
            launch { Controller(settings, Policy(), features(), loop).run() }
            play(HttpClient(loop, settings.listenAddress, 4))
            coroutineContext.cancelChildren()
        }
        return 0
    }

    private suspend fun CoroutineScope.play(client: HttpClient) {
        delay(SETTLE_MILLIS)
        for (turn in 1..TURNS) {
            post(client, "/v1/jobs", job())
            client.call("GET", "/v1/jobs/$JOB", null, SECOND_MICROS)
            client.call("GET", "/healthz", null, SECOND_MICROS)
            post(client, "/agent/beat", report(turn))
            delay(TURN_MILLIS)
        }
        post(client, "/v1/jobs/$JOB/cancel", emptyMap())
    }

    private suspend fun post(client: HttpClient, path: String, body: Map<String, Any?>) {
        client.call("POST", path, Cbor.encode(body), SECOND_MICROS)
    }

    private fun job(): Map<String, Any?> = mapOf(
        "name_id" to JOB, "lane" to "lane", "crew" to "crew", "shape" to "sweep", "urgency" to "normal",
        "pieces" to 3, "vcpus" to 1.0, "gpus" to 0.0, "memory_gb" to 1.0, "bundle" to "img", "pull_gb" to 1.0,
        "builds" to null, "yard" to null, "same_place" to false, "apart" to false, "loaners" to true,
        "guess_s" to 10.0, "mark_every_s" to 0.0, "mark_s" to 0.0, "due_s" to 60.0,
    )

    private fun report(turn: Int): Map<String, Any?> = mapOf(
        "rig" to RIG, "addr" to "127.0.0.1:9", "build" to "type", "yard" to "zone", "loaners" to false,
        "watch" to 1, "tick" to turn, "helm" to 1, "recall_s" to null,
        "pieces" to listOf(
            mapOf("piece" to "$JOB/0", "try" to 1, "status" to if (turn < 5) "running" else "ended", "cause" to "done"),
        ),
    )

    /** Read as from files, so that the classes for that are in the archive too. */
    private fun features() = Features(
        duties = FeatureFile.parse("[duties]\nslots = 32\n", "duties", DutySettings::from),
        recovery = FeatureFile.parse("[recovery]\nconfirm_s = 1.0\n", "recovery", RecoverySettings::from),
        admission = FeatureFile.parse("[admission]\nepoch_s = 1.0\n", "admission", AdmissionSettings::from),
    )

    private fun settings(outside: Address): Settings = SettingsReader.parse(
        """
        node_name = "rehearsal"
        domain = "zone"
        serve_on = "${freeAddress()}"
        peer_listen = "${freeAddress()}"
        members = []
        [external]
        cloud = "$outside"
        state = "$outside"
        [settings]
        zones = ["zone"]
        clock_off_ms = 1.0
        [[settings.teams]]
        name = "crew"
        cpus = 4.0
        cpus_max = 8.0
        gpus = 0.0
        gpus_max = 0.0
        [settings.workers]
        report_s = 1.0
        lease_s = 10.0
        gang_wait_s = 10.0
        gang_peer_s = 1.0
        cancel_s = 30.0
        [settings.state]
        rps = 1000.0
        write_rps = 1000.0
        value_kb = 16.0
        txn_ops = 16
        [settings.cloud]
        rps = 100.0
        list_lag_s = 1.0
        [settings.limits]
        cpu_share = 1.0
        mem_mb = 150.0
        fd_limit = 200
        """.trimIndent(),
    )

    private fun freeAddress(): Address = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { Address("127.0.0.1", it.localPort) }

    private const val SETTLE_MILLIS = 400L
    private const val TURNS = 8
    private const val TURN_MILLIS = 120L
}

/** Just enough of the state service and the cloud for one controller to lead for a second. */
private class RehearsalStore {
    private class Entry(val value: Map<String, Any?>, val version: Long)

    private val entries = sortedMapOf<String, Entry>()
    private var revision = 1L

    suspend fun answer(request: HttpRequest): HttpResponse {
        val path = request.path
        return when {
            path == "/machine_types" -> HttpResponse.of(200, "builds" to listOf(type()))
            path == "/machines" -> HttpResponse.of(200, "rigs" to emptyList<Any>(), "truncated" to false)
            path == "/holds" -> HttpResponse.of(200, "hold" to 1)
            path.startsWith("/holds/") -> HttpResponse.of(200)
            path == "/commit" -> commit(Cbor.decodeMap(request.body))
            path == "/follow" -> {
                delay(WATCH_MILLIS)
                HttpResponse.of(200, "era" to revision, "news" to changes(prefix(request), after(request)))
            }
            path == "/keys" -> HttpResponse.of(200, "pairs" to pairs(prefix(request)), "truncated" to false, "era" to revision)
            else -> entries[path.removePrefix("/keys/")]?.let { entry ->
                HttpResponse.of(200, "k" to path.removePrefix("/keys/"), "v" to entry.value, "stamp" to entry.version)
            } ?: HttpResponse.of(404, "era" to revision)
        }
    }

    private fun commit(body: Fields): HttpResponse {
        val failed = body.children("when").filter { (entries[it.text("k")]?.version ?: 0L) != it.long("stamp") }
        if (failed.isNotEmpty()) return HttpResponse.of(409, "failed" to failed.map { it.text("k") }, "era" to revision)
        revision++
        for (write in body.children("writes")) {
            val put = write.textOrNull("put")
            if (put == null) entries.remove(write.text("drop")) else entries[put] = Entry(write.child("v").map, revision)
        }
        return HttpResponse.of(200, "era" to revision)
    }

    private fun prefix(request: HttpRequest) = request.query.substringAfter("under=").substringBefore('&')

    private fun after(request: HttpRequest) = request.query.substringAfter("after=").substringBefore('&').toLong()

    private fun changes(prefix: String, after: Long) = entries.filter { it.key.startsWith(prefix) && it.value.version > after }
        .map { (key, entry) -> mapOf("put" to key, "v" to entry.value, "stamp" to entry.version) }

    private fun pairs(prefix: String) = entries.filter { it.key.startsWith(prefix) }
        .map { (key, entry) -> mapOf("k" to key, "v" to entry.value, "stamp" to entry.version) }

    private fun type() = mapOf(
        "name" to "type", "vcpus" to 8.0, "gpus" to 0.0, "memory_gb" to 32.0, "local_gb" to 10.0,
        "fetch_gb_per_s" to 1.0, "price" to 1.0, "market_price" to 0.5, "startup_s" to 10, "yards" to listOf("zone"),
    )

    private companion object {
        const val WATCH_MILLIS = 100L
    }
}

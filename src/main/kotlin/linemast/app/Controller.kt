package linemast.app

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.cloud.Cloud
import linemast.cloud.CloudClient
import linemast.cloud.CloudException
import linemast.cloud.MachineType
import linemast.jobs.JobDesk
import linemast.leadership.Authority
import linemast.leadership.Election
import linemast.leadership.LeaderDuty
import linemast.leadership.LeaderView
import linemast.planning.Policy
import linemast.settings.Settings
import linemast.state.CommitResult
import linemast.state.Condition
import linemast.state.Store
import linemast.state.StoreClient
import linemast.state.StoreException
import linemast.state.Write
import linemast.wire.Cbor
import linemast.wire.Clock
import linemast.wire.HttpRequest
import linemast.wire.HttpResponse
import linemast.wire.HttpServer
import linemast.wire.SteadyClock
import linemast.workers.Report
import org.slf4j.LoggerFactory
import kotlin.coroutines.coroutineContext

/** One controller: puts the slices together and runs them until it is cancelled. */
class Controller(
    private val settings: Settings,
    private val policy: Policy,
    private val selector: SelectorManager,
    private val clock: Clock = SteadyClock,
    private val store: Store =
        StoreClient(selector, settings.state, settings.stateLimits, settings.controllers, clock),
    private val cloud: Cloud = CloudClient(selector, settings.cloud, settings.cloudLimits, clock),
) {
    private val log = LoggerFactory.getLogger(Controller::class.java)
    private val view = LeaderView()
    private val graceMicros = Authority.graceMicros(settings.workers.leaseMicros, settings.workers.cancelMicros)
    private var types: List<MachineType>? = null
    private var duty: LeaderDuty? = null
    private var dutyScope: CoroutineScope? = null

    suspend fun run() = coroutineScope {
        val desk = JobDesk(
            store = store,
            scope = this,
            teams = settings.teams.associateBy { it.name },
            types = { types },
            progress = { id -> duty?.progressOf(id) },
            wallMicros = ::wallMicros,
        )
        val server = HttpServer(selector, settings.serveOn, settings.processLimits.fdLimit - RESERVED_SOCKETS) { route(it, desk) }
        launch { server.serve(this) }
        launch { learnTypes() }
        val election = Election(
            store, clock, settings.nodeName, policy.leaderHoldMicros, graceMicros, view,
            onElected = { authority -> startDuty(authority, this) },
            onLost = ::stopDuty,
        )
        launch { election.run() }
        log.info("{} serving on {}", settings.nodeName, settings.serveOn)
    }

    private fun startDuty(authority: Authority, parent: CoroutineScope) {
        val scope = CoroutineScope(parent.coroutineContext + SupervisorJob(parent.coroutineContext[Job]))
        val next = LeaderDuty(settings, policy, store, cloud, clock, authority, graceMicros, scope, ::wallMicros) { types }
        dutyScope = scope
        duty = next
        scope.launch { next.run() }
    }

    private fun wallMicros(): Long = System.currentTimeMillis() * 1_000

    private fun stopDuty() {
        duty = null
        dutyScope?.cancel()
        dutyScope = null
    }

    private suspend fun route(request: HttpRequest, desk: JobDesk): HttpResponse = when (request.path) {
        "/healthz" -> if (request.method == "GET") HttpResponse(if (types != null) 200 else 503) else HttpResponse(404)
        "/agent/beat" -> if (request.method == "POST") beat(request) else HttpResponse(404)
        else -> desk.handle(request) ?: HttpResponse(404)
    }

    private suspend fun beat(request: HttpRequest): HttpResponse {
        val report = Report.read(Cbor.decodeMap(request.body))
        view.heardOf(report.helm)
        val authority = view.own
        val orders = if (authority == null) null else duty?.answer(report)
        if (authority == null || orders == null) return elsewhere()
        val body = mapOf("helm" to authority.helm, "orders" to orders.map { it.toMap() })
        return HttpResponse(200, Cbor.encode(body), stillValid = {
            val now = clock.nowMicros()
            if (orders.isEmpty()) authority.mayAnswer(now) else authority.mayOrder(now)
        })
    }

    private fun elsewhere(): HttpResponse {
        val leader = view.leaderName
        return if (leader == null || leader == settings.nodeName) {
            HttpResponse(421)
        } else {
            HttpResponse.of(421, "bridge" to leader)
        }
    }

    /** The machine types are kept in the store, so that a restart can judge jobs while the cloud is away. */
    private suspend fun learnTypes() {
        while (true) {
            try {
                val stored = store.get(MachineType.KEY)
                if (stored != null) types = MachineType.readAll(stored.value)
            } catch (e: StoreException) {
                log.debug("machine types: {}", e.message)
            }
            if (types != null) break
            try {
                val fresh = cloud.types()
                val record = Write.Put(MachineType.KEY, MachineType.toMap(fresh))
                val result = store.commit(listOf(Condition(MachineType.KEY, 0L)), listOf(record))
                if (result is CommitResult.Applied) types = fresh
            } catch (e: CloudException) {
                log.info("machine types: {}", e.message)
            } catch (e: StoreException) {
                log.debug("machine types: {}", e.message)
            }
            if (types == null) delay(RETRY_MILLIS)
        }
        log.info("machine types: {}", types?.map { it.name })
    }

    private companion object {
        const val RESERVED_SOCKETS = 40
        const val RETRY_MILLIS = 500L
    }
}

package linemast.app

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.admission.AdmissionController
import linemast.admission.AdmissionFollower
import linemast.admission.AdmissionPlan
import linemast.admission.FlowClassifier
import linemast.cloud.Cloud
import linemast.cloud.CloudException
import linemast.cloud.MachineTypeCodec
import linemast.control.Leader
import linemast.control.LeaderConfiguration
import linemast.control.LeaderEnvironment
import linemast.domain.MachineType
import linemast.jobs.JobService
import linemast.jobs.JobServiceSettings
import linemast.leadership.Election
import linemast.leadership.LeaderKeys
import linemast.leadership.LeaderLease
import linemast.leadership.LeaderView
import linemast.peers.PeerStatus
import linemast.peers.PeerView
import linemast.serialization.Cbor
import linemast.serialization.MalformedException
import linemast.settings.Features
import linemast.settings.Policy
import linemast.settings.Settings
import linemast.store.CommitResult
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.StoreException
import linemast.store.StoreHealthProbe
import linemast.store.Write
import linemast.time.Clock
import linemast.transport.HttpRequest
import linemast.transport.HttpResponse
import linemast.transport.HttpStatus
import linemast.workers.HeartbeatCodec
import org.slf4j.LoggerFactory

/** A controller without its sockets: requests come through [route], statuses of peers through [receivePeerStatus]. */
class Node(
    private val settings: Settings,
    private val policy: Policy,
    private val store: KeyValueStore,
    private val cloud: Cloud,
    private val clock: Clock,
    private val wallMicros: () -> Long,
    private val scope: CoroutineScope,
    /** Told when this controller begins to lead and when it ends. */
    private val onLeadershipChange: (Boolean) -> Unit = {},
    private val features: Features = Features(),
) {
    private val log = LoggerFactory.getLogger(Node::class.java)
    private val view = LeaderView()
    private val peers = PeerView(clock)
    private val degradedModeMicros = LeaderLease.degradedModeMicros(settings.workers.leaseMicros, settings.workers.cancelMicros)
    private val healthProbe = StoreHealthProbe(store, clock)
    private var types: List<MachineType>? = null
    private val leaderEnvironment =
        LeaderEnvironment(LeaderConfiguration(settings, policy, features), store, cloud, clock, wallMicros, peers) { types }
    private var leader: Leader? = null
    private var leaderScope: CoroutineScope? = null

    /** When a worker last reported here. */
    private var lastHeartbeatMicros = Long.MIN_VALUE / 2
    private val flows = FlowClassifier(settings.objectives)
    private val admissionGate = features.admission?.let { AdmissionController(flows, clock) }
    private val jobService = JobService(
        settings = JobServiceSettings(
            teams = settings.teams.associateBy { it.name },
            maxValueBytes = settings.storeLimits.maxValueBytes,
            cancellationMicros = settings.workers.cancelMicros,
        ),
        store = store,
        scope = scope,
        clock = clock,
        wallMicros = wallMicros,
        machineTypes = { types },
        progress = { id -> leader?.progressOf(id) ?: peers.progressOf(id) },
        admission = admissionGate,
    )

    /** The plan by which this controller admits submissions; null without fair admission. */
    val admissionPlan: AdmissionPlan? get() = admissionGate?.plan

    /** Starts the long-lived duties in the node's scope. */
    fun start() {
        scope.launch { learnTypes() }
        scope.launch { healthProbe.run(LeaderKeys.FENCING_TOKEN) }
        val election = Election(
            store,
            clock,
            settings.nodeName,
            policy.leaderLeaseMicros,
            degradedModeMicros,
            view,
            onElected = ::startLeader,
            onLost = ::stopLeader,
        )
        scope.launch { election.run() }
        startAdmission()
    }

    private fun startAdmission() {
        val admission = features.admission ?: return
        val gate = admissionGate ?: return
        val quietRate = admission.capacity(settings.storeLimits) / (settings.controllers * QUIET_PARTS)
        AdmissionFollower(store, gate, admission, settings.nodeName, settings.storeLimits.maxValueBytes, quietRate).start(scope)
    }

    private fun startLeader(leaderLease: LeaderLease) {
        val leaderScope = CoroutineScope(scope.coroutineContext + SupervisorJob(scope.coroutineContext[Job]))
        val next = Leader(leaderEnvironment, leaderLease, leaderScope)
        this.leaderScope = leaderScope
        leader = next
        leaderScope.launch { next.run() }
        onLeadershipChange(true)
    }

    private fun stopLeader() {
        onLeadershipChange(false)
        leader = null
        leaderScope?.cancel()
        leaderScope = null
    }

    /** What this controller tells its peers now. */
    fun peerStatus(): PeerStatus {
        val leading = leader
        val receivesHeartbeats = clock.nowMicros() - lastHeartbeatMicros < HEARTBEATS_LATELY_MICROS
        return PeerStatus(
            settings.nodeName,
            view.highestFencingToken,
            leading != null,
            healthProbe.isHealthy,
            receivesHeartbeats,
            leading?.progress() ?: emptyMap(),
        )
    }

    /** Takes in a status that has arrived from another controller. */
    fun receivePeerStatus(status: PeerStatus) {
        view.observeFencingToken(status.fencingToken)
        if (status.isLeader && status.fencingToken >= view.highestFencingToken && view.own == null) view.leaderName = status.node
        peers.received(status)
        leader?.peerObservedToken(status.node, status.fencingToken)
    }

    /** Answers a request of a user, a worker or the load balancer. */
    suspend fun route(request: HttpRequest): HttpResponse = when (request.path) {
        "/healthz" -> if (request.method == "GET") health() else HttpResponse(HttpStatus.NOT_FOUND)
        "/agent/beat" -> if (request.method == "POST") heartbeat(request) else HttpResponse(HttpStatus.NOT_FOUND)
        else -> jobService.handle(request) ?: HttpResponse(HttpStatus.NOT_FOUND)
    }

    private fun health() = HttpResponse(if (isHealthy()) HttpStatus.OK else HttpStatus.SERVICE_UNAVAILABLE)

    /**
     * Without the state service no request can be answered. Users are sent elsewhere only if it answers another
     * controller: in an outage for all, being taken out would only delay the return.
     */
    private fun isHealthy(): Boolean =
        types != null && (healthProbe.failingForMicros(clock.nowMicros()) < UNHEALTHY_MICROS || !peers.peerReachesStore)

    private suspend fun heartbeat(request: HttpRequest): HttpResponse {
        val heartbeat = HeartbeatCodec.decode(Cbor.decodeMap(request.body))
        lastHeartbeatMicros = clock.nowMicros()
        view.observeFencingToken(heartbeat.fencingToken)
        val answer = leader?.answer(heartbeat) ?: return elsewhere()
        val body = HeartbeatCodec.encodeResponse(answer.fencingToken, answer.commands)
        return HttpResponse(HttpStatus.OK, Cbor.encode(body), stillValid = { answer.isValid(clock.nowMicros()) })
    }

    private fun elsewhere(): HttpResponse {
        val leader = view.leaderName
        return if (leader == null || leader == settings.nodeName) {
            HttpResponse(HttpStatus.MISDIRECTED_REQUEST)
        } else {
            HttpResponse(HttpStatus.MISDIRECTED_REQUEST, Cbor.encode(HeartbeatCodec.encodeRedirect(leader)))
        }
    }

    /** The machine types are kept in the store, so that a restart can judge jobs while the cloud is away. */
    private suspend fun learnTypes() {
        while (types == null) {
            try {
                types = storedTypes() ?: firstTypes()
            } catch (e: StoreException) {
                log.debug("machine types: {}", e.message)
            } catch (e: CloudException) {
                log.info("machine types: {}", e.message)
            } catch (e: MalformedException) {
                log.error("machine types: {}", e.message)
            }
            if (types == null) delay(RETRY_MILLIS)
        }
        log.info("machine types: {}", types?.map { it.name })
    }

    private suspend fun storedTypes(): List<MachineType>? = store.get(MachineTypeCodec.KEY)?.let { MachineTypeCodec.decode(it.value) }

    private suspend fun firstTypes(): List<MachineType>? {
        val fresh = cloud.types()
        val record = Write.Put(MachineTypeCodec.KEY, MachineTypeCodec.encode(fresh))
        val result = store.commit(listOf(Precondition(MachineTypeCodec.KEY, 0L)), listOf(record))
        return if (result is CommitResult.Applied) fresh else null
    }

    private companion object {
        const val RETRY_MILLIS = 500L

        /** Below this part of its part of what can be taken a controller has no demand to tell of. */
        const val QUIET_PARTS = 2
        const val HEARTBEATS_LATELY_MICROS = 2_000_000L

        /** Longer than news of an outage takes from the others: a second between questions, one between frames. */
        const val UNHEALTHY_MICROS = 3_500_000L
    }
}

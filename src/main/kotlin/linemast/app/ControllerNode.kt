package linemast.app

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import linemast.admission.AdmissionController
import linemast.admission.AdmissionFollower
import linemast.admission.AdmissionPlan
import linemast.admission.FlowClassifier
import linemast.cloud.Cloud
import linemast.control.ControllerConfiguration
import linemast.control.LeaderEnvironment
import linemast.domain.DrainReason
import linemast.jobs.JobService
import linemast.jobs.JobServiceSettings
import linemast.jobs.ProgressSnapshotReader
import linemast.leadership.CancellationBarrier
import linemast.leadership.Election
import linemast.leadership.LeaderKeys
import linemast.leadership.LeaderLease
import linemast.leadership.LeaderView
import linemast.peers.CancellationAcknowledgement
import linemast.peers.CancellationNotice
import linemast.peers.PeerMessage
import linemast.peers.PeerStatus
import linemast.peers.PeerView
import linemast.scheduling.TaskLoad
import linemast.store.KeyValueStore
import linemast.store.StoreHealthProbe
import linemast.time.Clock
import linemast.transport.HttpRequest
import linemast.transport.HttpResponse

/**
 * A controller without its sockets: requests arrive through [route], messages of peers through [receivePeerMessage].
 *
 * All its code runs on one thread, in [scope].
 */
class ControllerNode(
    private val configuration: ControllerConfiguration,
    private val store: KeyValueStore,
    cloud: Cloud,
    private val clock: Clock,
    private val wallMicros: () -> Long,
    private val scope: CoroutineScope,
    /** Called with true after a term of this controller as leader has begun, and with false before the term ends. */
    onLeadershipChange: (Boolean) -> Unit = {},
    /** Sends a message to the controller with the given name; the message may be lost. */
    sendToPeer: (nodeName: String, message: PeerMessage) -> Unit = { _, _ -> },
) {
    private val settings = configuration.settings
    private val features = configuration.features
    private val leaderView = LeaderView()
    private val peerView = PeerView(clock)
    private val degradedModeMicros =
        LeaderLease.degradedModeMicros(settings.workers.leaseMicros, settings.workers.cancellationDeadlineMicros)
    private val healthProbe = StoreHealthProbe(store, clock)
    private val machineTypes = MachineTypeCatalog(store, cloud)
    private val leaderEnvironment = LeaderEnvironment(configuration, store, cloud, clock, wallMicros, peerView, machineTypes::types)
    private val leaderLifecycle = LeaderLifecycle(leaderEnvironment, scope, onLeadershipChange)
    private val peerStatusExchange = PeerStatusExchange(settings.nodeName, clock, leaderView, peerView, healthProbe, leaderLifecycle)
    private val cancellationExchange =
        CancellationExchange(settings.nodeName, leaderLifecycle, peerView, sendToPeer) { cancellationBarrier.acknowledge(it) }
    private val cancellationBarrier: CancellationBarrier =
        CancellationBarrier(scope, clock, settings.workers, cancellationExchange::requestAcknowledgement)
    private val admissionController = features.admission?.let { AdmissionController(FlowClassifier(settings.objectives), clock) }
    private val router = RequestRouter(
        HealthCheck(machineTypes, healthProbe, peerView, clock),
        HeartbeatEndpoint(settings.nodeName, clock, leaderView, leaderLifecycle, peerStatusExchange),
        createJobService(),
    )

    /** The plan by which this controller admits submissions; null if fair admission is not enabled. */
    val admissionPlan: AdmissionPlan? get() = admissionController?.plan

    /** The machines that get no starts, by name, with the reason; null while this controller does not lead. */
    val drainingMachines: Map<String, DrainReason>? get() = leaderLifecycle.leader?.drainingMachines()

    /** How many tasks this controller holds and may hold as the leader; null while it does not lead. */
    val taskLoad: TaskLoad? get() = leaderLifecycle.leader?.taskLoad()

    /** Starts the long-running coroutines of the controller in [scope]. */
    fun start() {
        scope.launch { machineTypes.load() }
        scope.launch { healthProbe.run(LeaderKeys.FENCING_TOKEN) }
        val election = createElection()
        scope.launch { election.run() }
        startAdmission()
    }

    /** Responds to a request of a user, a worker or the load balancer. */
    suspend fun route(request: HttpRequest): HttpResponse = router.route(request)

    /** Returns the status that this controller sends to its peers at this time. */
    fun peerStatus(): PeerStatus = peerStatusExchange.buildStatus()

    /** Processes a message received from another controller. */
    fun receivePeerMessage(message: PeerMessage) = when (message) {
        is PeerStatus -> peerStatusExchange.receive(message)
        is CancellationNotice -> cancellationExchange.receive(message)
        is CancellationAcknowledgement -> cancellationExchange.receive(message)
    }

    private fun createElection() = Election(
        store,
        clock,
        settings.nodeName,
        configuration.policy.leaderLeaseMicros,
        degradedModeMicros,
        leaderView,
        onElected = leaderLifecycle::beginTerm,
        onLost = leaderLifecycle::endTerm,
    )

    private fun createJobService() = JobService(
        settings = JobServiceSettings(
            teams = settings.teams.associateBy { it.name },
            maxValueBytes = settings.storeLimits.maxValueBytes,
            cancellationDeadlineMicros = settings.workers.cancellationDeadlineMicros,
        ),
        store = store,
        scope = scope,
        clock = clock,
        wallMicros = wallMicros,
        machineTypes = machineTypes::types,
        cancellationBarrier = cancellationBarrier,
        progress = ProgressLookup(leaderLifecycle, peerView, ProgressSnapshotReader(store, scope, clock, wallMicros)),
        admission = admissionController,
    )

    private fun startAdmission() {
        val admission = features.admission ?: return
        val controller = admissionController ?: return
        val reportThreshold = admission.submissionCapacity(settings.storeLimits) / (settings.controllerCount * REPORT_THRESHOLD_DIVISOR)
        AdmissionFollower(store, controller, admission, settings.nodeName, settings.storeLimits.maxValueBytes, reportThreshold).start(scope)
    }

    private companion object {
        /** A controller does not report demand that is below its share of the admission capacity divided by this number. */
        const val REPORT_THRESHOLD_DIVISOR = 2
    }
}

package linemast.control

import linemast.admission.AdmissionLeader
import linemast.admission.FlowClassifier
import linemast.admission.FlowRoundRobin
import linemast.autoscaling.Autoscaler
import linemast.cloud.DirectCloudActionExecutor
import linemast.cloud.Fleet
import linemast.duties.WriteAheadCloudActionExecutor
import linemast.leadership.CancellationFreshness
import linemast.leadership.LeaderLease
import linemast.planning.Planner
import linemast.planning.RunTimeEstimates
import linemast.recovery.ReconciliationMonitor
import linemast.recovery.StateReconciliation
import linemast.scheduling.Cluster
import linemast.scheduling.ClusterTerm
import linemast.scheduling.LeaderClocks
import linemast.scheduling.OptionalPolicies
import linemast.scheduling.TaskBudget

/** Creates the components of one leader term and connects them. */
internal class LeaderComponents(environment: LeaderEnvironment, term: LeaderTerm) {
    private val configuration = environment.configuration
    private val settings = configuration.settings
    private val features = configuration.features
    private val runTimeEstimates = RunTimeEstimates()
    private val planner = Planner(settings, configuration.policy, runTimeEstimates)
    private val flowClassifier = FlowClassifier(settings.objectives)
    private val stateReconciliation = features.recovery?.let(::StateReconciliation)
    private val storeEffects = StoreEffects()

    /** As of when this term has applied every cancellation in the store, and which leases and starts that permits. */
    val cancellationFreshness = CancellationFreshness(settings.workers)

    /** Jobs, machines and placements of this term. */
    val cluster = Cluster(
        settings,
        ClusterTerm(
            term.lease.fencingToken,
            LeaderLease.degradedModeMicros(settings.workers.leaseMicros, settings.workers.cancellationDeadlineMicros),
            TaskBudget.maxTasks(Runtime.getRuntime().maxMemory(), settings.processLimits, settings.workers),
        ),
        storeEffects,
        runTimeEstimates,
        planner,
        LeaderClocks(term.clock, term.wallMicros),
        cancellationFreshness,
        OptionalPolicies(roundRobin = features.admission?.let { FlowRoundRobin(flowClassifier) }, stateReconciliation),
    )

    /** Performs the store reads and writes of the reconciliation after an outage; null if the reconciliation is not enabled. */
    val reconciliationMonitor = stateReconciliation?.let {
        ReconciliationMonitor(term.store, term.lease, term.clock, term.wallMicros, it, cluster::isReconciled, term.eventLoop::enqueue)
    }
    val reportedCancellations = ReportedCancellations(term, cluster)
    val jobStatistics = JobStatistics(term.eventLoop, cluster, flowClassifier)

    /** Makes the admission plan; null if fair admission is not enabled. */
    val admissionLeader = features.admission?.let {
        val limits = term.limits
        AdmissionLeader(
            term.store,
            term.clock,
            term.lease,
            it,
            it.submissionCapacity(limits),
            limits.maxValueBytes,
            jobStatistics::unfinishedJobsByFlow,
        )
    }

    private val fleet = Fleet(settings, configuration.policy, term.lease.fencingToken)
    private val autoscaler = Autoscaler(cluster, fleet, planner, configuration.policy)
    private val machineRegistryStore = MachineRegistryStore(term, cluster)
    private val baselineFleetStore = BaselineFleetStore(term, environment.cloud, settings.cloudLimits.listLagMicros)
    private val writeAheadExecutor = features.duties?.let {
        WriteAheadCloudActionExecutor(it, term.store, environment.cloud, term.clock, term.wallMicros, term.lease, term.limits)
    }
    private val cloudOperations = CloudOperations(
        term,
        writeAheadExecutor ?: DirectCloudActionExecutor(environment.cloud),
        cluster,
        fleet,
        autoscaler,
        machineRegistryStore,
    )

    /** Adopts the intents of previous leaders; null if single-holder duties are not enabled. */
    val inheritedIntents = writeAheadExecutor?.let { InheritedIntents(term, it, cluster, fleet, cloudOperations) }
    val machineListWatcher = MachineListWatcher(
        term,
        environment.cloud,
        settings.cloudLimits.rps,
        cluster,
        fleet,
        machineRegistryStore,
        baselineFleetStore,
    )

    private val dependencyCoordinator = DependencyCoordinator(term, cluster)
    private val openJobUpdates = OpenJobUpdates(cluster, dependencyCoordinator)
    private val completedTaskStore = CompletedTaskStore(term)
    private val jobStore = JobStore(term, cluster, completedTaskStore, openJobUpdates, dependencyCoordinator)
    val stateLoader = StateLoader(
        term,
        environment.machineTypes,
        cluster,
        completedTaskStore,
        machineRegistryStore,
        dependencyCoordinator,
        cancellationFreshness,
    )
    val jobWatcher = JobWatcher(term, openJobUpdates, dependencyCoordinator, cancellationFreshness)
    val ticker = LeaderTicker(
        term,
        cluster,
        autoscaler,
        StepDownPolicy(cluster, term.lease, environment.peers),
        dependencyCoordinator,
        UtilizationLog(cluster, fleet),
        cloudOperations,
        PlanStore(term, planner),
        ProgressPublisher(term, jobStatistics, environment.peers, settings.members.map { it.nodeName }),
    )

    init {
        storeEffects.connect(cluster, JobActivationStore(term, cluster), jobStore, machineRegistryStore)
    }
}

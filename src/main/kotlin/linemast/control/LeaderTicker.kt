package linemast.control

import linemast.autoscaling.Autoscaler
import linemast.scheduling.Cluster

/** Runs the leader's periodic work in a fixed order. */
internal class LeaderTicker(
    private val term: LeaderTerm,
    private val cluster: Cluster,
    private val autoscaler: Autoscaler,
    private val stepDownPolicy: StepDownPolicy,
    private val dependencyCoordinator: DependencyCoordinator,
    private val utilizationLog: UtilizationLog,
    private val cloudOperations: CloudOperations,
    private val planStore: PlanStore,
    private val progressPublisher: ProgressPublisher,
) {
    /** Runs one round; does nothing while the leader may not issue commands. */
    fun tick() {
        val now = term.clock.nowMicros()
        if (!term.lease.mayIssueCommands(now)) return
        stepDownPolicy.stepDownIfDue(now)
        dependencyCoordinator.startDueActions()
        cluster.tick(now)
        utilizationLog.logIfDue(now)
        cloudOperations.execute(autoscaler.step(term.wallMicros(), now))
        storeNewPlan()
        progressPublisher.publishIfDue(now)
    }

    private fun storeNewPlan() {
        if (!autoscaler.hasNewPlan) return
        autoscaler.hasNewPlan = false
        planStore.write(cluster.jobs.values)
    }
}

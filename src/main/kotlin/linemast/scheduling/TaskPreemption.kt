package linemast.scheduling

import linemast.domain.Placement
import linemast.domain.StopReason
import org.slf4j.LoggerFactory

/** Stops tasks to free capacity for other jobs; each task gets the time that it needs to write a checkpoint. */
internal class TaskPreemption(private val cluster: Cluster, private val gracePeriodMicros: Long) {
    private val log = LoggerFactory.getLogger(TaskPreemption::class.java)

    /** Stops the task of [placement] because of [reason]. */
    fun preempt(placement: Placement, reason: StopReason) {
        cluster.stop(placement, reason, gracePeriodMicrosOf(placement))
        log.debug("{} on {}: {}", placement.task, placement.machine.name, reason.description)
    }

    private fun gracePeriodMicrosOf(placement: Placement): Long {
        val spec = placement.job?.spec
        return if (spec == null || spec.neverCheckpoints) 0 else spec.checkpointMicros + gracePeriodMicros
    }

    /** Returns the vcpus of the tasks of [team] that are being stopped. */
    fun stoppingVcpus(team: String): Double =
        cluster.stopping.sumOf { placement -> placement.job?.spec?.takeIf { it.team == team }?.vcpus ?: 0.0 }
}

/** Whether the task may be preempted: it is on its machine, not being stopped yet, not exempt, and not part of a gang. */
internal val Placement.isPreemptible: Boolean
    get() = stopReason == null && !isAssigned && !isExemptFromPreemption && job?.spec?.isGang == false

/** Vcpus that the task requests; 0 if its job is unknown. */
internal val Placement.requestedVcpus: Double
    get() = job?.spec?.vcpus ?: 0.0

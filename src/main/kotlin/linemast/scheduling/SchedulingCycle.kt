package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.Placement

/** The state of one scheduling cycle: ranked jobs, candidate machines, and the quota headroom of teams. */
internal class SchedulingCycle(
    val nowMicros: Long,
    /** All unfinished jobs, by rank. */
    val jobs: List<RankedJob>,
    val machines: CandidateMachines,
    val headroom: QuotaHeadroom,
    private val cluster: Cluster,
) {
    private val imageAffinity = ImageAffinity(jobs, headroom::allowsTaskOf)

    /** Whether arrays leave machines to other jobs whose image these machines have. */
    var respectsImageAffinity = true

    /** Assigns task [index] of [job] to [machine]; the start is sent in the response to the machine's next heartbeat. */
    fun assign(machine: Machine, job: Job, index: Int, attempt: Long): Placement {
        val placement = cluster.assign(machine, job, index, attempt)
        machines.recordAssigned(placement)
        return placement
    }

    /** Removes an assignment whose start has not been sent. */
    fun unassign(placement: Placement) {
        cluster.remove(placement)
        machines.recordUnassigned(placement)
    }

    /** Whether [job] leaves [machine], for now, to another job whose image the machine has. */
    fun isLeftToAnother(job: Job, machine: Machine): Boolean = respectsImageAffinity && imageAffinity.prefersAnother(job, machine)
}

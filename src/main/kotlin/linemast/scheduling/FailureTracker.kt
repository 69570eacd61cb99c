package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.MachineHealth
import linemast.domain.Placement
import org.slf4j.LoggerFactory

/**
 * Records failures and completions of tasks in the [MachineHealth] of their machines and in the failures of their jobs, keeps both up to
 * date, and requests a scheduling cycle when that lets tasks be started.
 */
internal class FailureTracker(private val cluster: Cluster) {
    private val log = LoggerFactory.getLogger(FailureTracker::class.java)

    /** The machines with recorded failures. */
    private val machinesWithFailures = LinkedHashSet<Machine>()

    /**
     * Records that a task of [job] has failed on [machine]; returns false if this is known. [placement] is null if the end was recorded
     * before, since a failure is reported in each heartbeat until it is acknowledged, or if the leader did not know the task.
     */
    fun recordFailure(machine: Machine, job: Job, placement: Placement?, nowMicros: Long): Boolean {
        if (placement == null && job.failures.isExcluded(machine.name)) return false
        val isNewForJob = job.failures.recordFailure(machine.name, nowMicros)
        val isNewForMachine = machine.health.recordFailure(job, placement?.sentMicros ?: 0L, nowMicros)
        if (!isNewForJob && !isNewForMachine) return false
        machinesWithFailures += machine
        job.failures.delayStarts(nowMicros)
        job.failures.update(job.placements, nowMicros)
        updateMachine(machine, nowMicros)
        return true
    }

    /** Records that the task of [placement] has completed. */
    fun recordCompletion(placement: Placement, nowMicros: Long) {
        val machine = placement.machine
        if (!machine.health.hasFailures) return
        machine.health.recordCompletion(placement.sentMicros).forEach { it.failures.recordSuccessOn(machine.name) }
        updateMachine(machine, nowMicros)
    }

    /** Updates all jobs and machines with failures: time has passed, and jobs may have failed elsewhere, completed or been cancelled. */
    fun update(nowMicros: Long) {
        for (job in cluster.jobs.values) {
            if (job.failures.needsUpdate && job.failures.update(job.placements, nowMicros)) cluster.needsScheduling = true
        }
        if (machinesWithFailures.isEmpty()) return
        machinesWithFailures.removeIf { cluster.machines[it.name] !== it || !it.health.hasFailures }
        machinesWithFailures.forEach { updateMachine(it, nowMicros) }
    }

    private fun updateMachine(machine: Machine, nowMicros: Long) {
        val health = machine.health
        if (!health.update(nowMicros)) return
        cluster.needsScheduling = true
        when (health.state) {
            MachineHealth.State.QUARANTINED ->
                log.info("{}: {} jobs failed here, quarantined, quarantine {}", machine.name, health.failedJobCount, health.quarantineCount)
            MachineHealth.State.ON_TRIAL -> log.info("{}: quarantine {} is over, on trial", machine.name, health.quarantineCount)
            MachineHealth.State.OPEN -> log.info("{}: not quarantined any more, {} failed jobs count", machine.name, health.failedJobCount)
        }
    }
}

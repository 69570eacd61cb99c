package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.MachineHealth
import linemast.domain.Placement
import org.slf4j.LoggerFactory

/** Keeps the [MachineHealth] of machines on which tasks have failed up to date, and requests a scheduling cycle when one changes. */
internal class MachineQuarantines(private val cluster: Cluster) {
    private val log = LoggerFactory.getLogger(MachineQuarantines::class.java)

    /** The machines with recorded failures. */
    private val machinesWithFailures = LinkedHashSet<Machine>()

    /** Records that a task of [job] has failed on [machine]; returns false if this repeats a recent failure. */
    fun recordFailure(machine: Machine, job: Job, nowMicros: Long): Boolean {
        if (!machine.health.recordFailure(job, nowMicros)) return false
        machinesWithFailures += machine
        job.failures.updateSuspicion(job.placements)
        update(machine, nowMicros)
        return true
    }

    /** Records that the task of [placement], which had been started by this leader, has completed. */
    fun recordCompletion(placement: Placement, nowMicros: Long) {
        val machine = placement.machine
        if (!machine.health.hasFailures) return
        machine.health.recordCompletion(placement.sentMicros)
        update(machine, nowMicros)
    }

    /** Updates all machines with failures: time has passed, and their jobs may have failed elsewhere, completed or been cancelled. */
    fun update(nowMicros: Long) {
        if (machinesWithFailures.isEmpty()) return
        machinesWithFailures.removeIf { cluster.machines[it.name] !== it || !it.health.hasFailures }
        machinesWithFailures.flatMapTo(HashSet()) { it.health.failedJobs }.forEach { it.failures.updateSuspicion(it.placements) }
        machinesWithFailures.forEach { update(it, nowMicros) }
    }

    private fun update(machine: Machine, nowMicros: Long) {
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

package linemast.jobs

import linemast.domain.JobSpec
import linemast.domain.MachineType
import linemast.settings.Team

/** Decides whether a job could ever run, assuming that all machines of the cloud are free. */
internal class JobFeasibility(private val teams: Map<String, Team>) {
    /** Whether [spec] is within its team's quota limit and one of [machineTypes] is large enough and offered in a suitable zone. */
    fun canEverRun(spec: JobSpec, machineTypes: List<MachineType>): Boolean {
        val team = teams[spec.team] ?: return false
        val concurrentTasks = if (spec.isGang) spec.taskCount else 1
        if (spec.vcpus * concurrentTasks > team.maxVcpus || spec.gpus * concurrentTasks > team.maxGpus) return false
        return machineTypes.any { type ->
            type.canHost(spec) && (spec.zone == null || type.zones.isEmpty() || spec.zone in type.zones)
        }
    }
}

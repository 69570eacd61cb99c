package linemast.planning

import linemast.domain.Job
import linemast.domain.JobRecord
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.settings.Policy
import linemast.testSettings
import linemast.testSpec

internal val eightVcpuType = MachineType("t", 8.0, 0.0, 64.0, 10.0, 1.0, 1.0, 0.3, 30_000_000, listOf("z"))

internal fun planner() = Planner(testSettings(), Policy(), RunTimeEstimates())

/** Returns a request to plan [jobs] and [stages] in which no machine is excluded for any job. */
internal fun planningRequest(
    jobs: List<Job> = emptyList(),
    machines: List<Machine> = emptyList(),
    stages: List<BlockedStage> = emptyList(),
    replanAll: Boolean = true,
    startupMicros: Long = 0L,
    nowMicros: Long = 0L,
) = PlanningRequest(
    jobs,
    stages,
    machines,
    isExcluded = { _, _, _ -> false },
    ScaleOutEstimates(startupMicros = { startupMicros }, vcpuPrice = { 1.0 }),
    replanAll,
    wallMicros = nowMicros,
    nowMicros,
)

internal fun job(id: String, taskCount: Int, estimateS: Int, deadlineS: Int): Job {
    val spec = testSpec(id, "pieces" to taskCount, "guess_s" to estimateS, "due_s" to deadlineS)
    return Job(JobRecord(spec, 0L, activated = true, cancelled = false), 1L, inherited = false)
}

package linemast.planning

import linemast.domain.Job
import linemast.domain.JobRecord
import linemast.domain.Machine
import linemast.testSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/** Plans of pipeline stages that may not start yet, and deadlines of jobs in pipelines. */
class StagePlannerTest {
    private val machines = List(2) { Machine("host-$it", eightVcpuType, "z", false) }

    @Test
    fun `stages are ordered from the costliest one outward, each with the neighbour that precedes it in this order`() {
        val stages =
            listOf(stage(2, 4, setOf(1)), stage(3, 90, setOf(2)), stage(4, 8, setOf(3)), stage(5, 2, setOf(4)), stage(8, 50, setOf(7)))
        val order = costliestFirst(stages) { it.job.spec.taskCount.toDouble() }.map { it.stage.job.id to it.neighbour?.job?.id }
        val expected = listOf("req-3" to null, "req-4" to "req-3", "req-2" to "req-3", "req-5" to "req-4", "req-8" to null)
        assertEquals(expected, order)
    }

    @Test
    fun `a stage is planned within its window and scaled out for the throughput of its neighbour`() {
        val planner = planner()
        val lateStage = stage(2, 40, setOf(1), startsInS = 70, estimateS = 20, deadlineS = 400)
        planner.plan(planningRequest(machines = machines, stages = listOf(lateStage)))
        val alone = requireNotNull(planner.planOf(lateStage.job))
        assertEquals(0.0, alone.baseline[0], 1e-9, "no task is planned before the stage can start")
        assertEquals(40.0, alone.baseline.sum() + alone.scaleOut.sum(), 1e-6, "each task is planned exactly once")
        val first = stage(2, 200, setOf(1), startsInS = 0, estimateS = 20, deadlineS = 60)
        val child = stage(3, 40, setOf(2), startsInS = 70, estimateS = 20, deadlineS = 400)
        val pipelinePlanner = planner()
        pipelinePlanner.plan(planningRequest(stages = listOf(first, child)))
        val childPlan = requireNotNull(pipelinePlanner.planOf(child.job))
        assertEquals(3L, requireNotNull(pipelinePlanner.planOf(first.job)?.spanMicros) / 20_000_000, "tasks per slot before the deadline")
        assertEquals(40.0 / 3, childPlan.scaleOutSlots, 1e-6, "three tasks per slot as for the neighbour, not the sixteen of the window")
    }

    /** Guards against a blocked stage that takes capacity from jobs that may start: their plans are the same with and without stages. */
    @ParameterizedTest
    @ValueSource(ints = [12])
    fun `blocked stages do not change the plans of jobs that may start`(seed: Int) {
        val random = Random(seed)
        repeat(100) {
            val jobs =
                List(1 + random.nextInt(4)) {
                    job("req-${20 + it}", 1 + random.nextInt(60), 5 + random.nextInt(60), 30 + random.nextInt(300))
                }
            val stages = List(random.nextInt(5)) {
                stage(
                    40 + it,
                    1 + random.nextInt(90),
                    setOf(39 + it),
                    random.nextInt(120),
                    5 + random.nextInt(60),
                    30 + random.nextInt(300),
                )
            }
            val plannerWithoutStages = planner().also { it.plan(planningRequest(jobs, machines, startupMicros = 30_000_000)) }
            val plannerWithStages = planner().also { it.plan(planningRequest(jobs, machines, stages, startupMicros = 30_000_000)) }
            for (job in jobs) {
                val planWithoutStages = requireNotNull(plannerWithoutStages.planOf(job))
                val planWithStages = requireNotNull(plannerWithStages.planOf(job))
                assertEquals(
                    planWithoutStages.baseline.toList() + planWithoutStages.scaleOut.toList() + planWithoutStages.scaleOutSlots,
                    planWithStages.baseline.toList() + planWithStages.scaleOut.toList() + planWithStages.scaleOutSlots,
                )
            }
        }
    }

    @Test
    fun `a job is replanned once a job that is accepted afterwards requires it to end sooner`() {
        val planner = planner()
        val job = job("req-1", 60, 30, 600)
        planner.plan(planningRequest(listOf(job), machines))
        assertFalse(planner.isOutdated(job))
        val before = requireNotNull(planner.planOf(job))
        job.requiredEndWallMicros = 70_000_000
        assertTrue(planner.isOutdated(job))
        planner.plan(planningRequest(listOf(job), machines, replanAll = false))
        val after = requireNotNull(planner.planOf(job))
        assertTrue(after.scaleOutSlots > before.scaleOutSlots, "${before.scaleOutSlots} -> ${after.scaleOutSlots}")
        assertFalse(planner.isOutdated(job))
    }

    /** `due_s` counts from the submission, however long the job waits; all other times count from the completion of its last dependency. */
    @Test
    fun `a deadline counts from the submission and other times count from the release`() {
        val spec = testSpec("req-1", "due_s" to 100.0, "awaits" to listOf("req-0"))
        val record = JobRecord(spec, 5_000_000, activated = false, cancelled = false).released(80_000_000)
        val job = Job(record, 1, inherited = false)
        assertEquals(105_000_000, planner().deadlineWallMicros(job))
        assertEquals(80_000_000, job.readyWallMicros)
        val withoutDeadline =
            Job(JobRecord(spec.copy(deadlineMicros = null), 5_000_000, false, false).released(80_000_000), 1, inherited = false)
        assertTrue(planner().deadlineWallMicros(withoutDeadline) > 80_000_000, "the implied deadline counts from the release")
    }

    private fun stage(id: Int, tasks: Int, dependencies: Set<Int>, startsInS: Int = 10, estimateS: Int = 20, deadlineS: Int = 300) =
        BlockedStage(job("req-$id", tasks, estimateS, deadlineS), dependencies.mapTo(LinkedHashSet()) { "req-$it" }, startsInS * 1_000_000L)
}

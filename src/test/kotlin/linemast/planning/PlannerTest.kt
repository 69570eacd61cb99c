package linemast.planning

import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.Placement
import linemast.domain.TaskId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/** How many tasks of a job are planned on baseline machines, and how many are scaled out. */
class PlannerTest {
    @ParameterizedTest
    @ValueSource(ints = [3])
    fun `every task of a generated job is planned once, and in usable intervals only`(seed: Int) {
        val random = Random(seed)
        repeat(300) {
            val machines = List(random.nextInt(6)) { Machine("host-$it", eightVcpuType, "z", false) }
            val job = job("req-1", random.nextInt(1, 400), estimateS = random.nextInt(5, 90), deadlineS = random.nextInt(20, 600))
            machines.forEach { machine ->
                repeat(random.nextInt(9)) { index ->
                    val running = Placement(machine, TaskId("req-9", index), 1, job("req-9", 9, 30, 100))
                    running.phase = Placement.Phase.RUNNING
                    running.runningSinceMicros = -random.nextLong(60_000_000)
                    machine.add(running)
                }
            }
            val plan = plan(job, machines)
            val tasks = job.spec.taskCount.toDouble()
            assertTrue(plan.baseline.all { it >= 0 } && plan.scaleOut.all { it >= -1e-6 })
            assertEquals(tasks, plan.baseline.sum() + plan.scaleOut.sum(), tasks * 1e-6 + 1e-6, "each task is planned exactly once")
            if (machines.isEmpty()) assertEquals(tasks, plan.scaleOut.sum(), 1e-6, "without baseline machines all tasks are scaled out")
            // Except for the first interval, no task is planned into an interval in which it cannot finish before the deadline.
            val due = job.spec.deadlineMicros ?: 0L
            for (i in 1 until plan.baseline.size) {
                if (i * 60_000_000L + plan.taskMicros > due) assertEquals(0.0, plan.baseline[i] + plan.scaleOut[i], 1e-9)
            }
        }
    }

    @Test
    fun `baseline targets are in proportion to free capacity if it suffices for all tasks`() {
        val machine = Machine("host-1", eightVcpuType, "z", false)
        val plan = plan(job("req-1", 12, estimateS = 30, deadlineS = 180), listOf(machine))
        assertEquals(listOf(4.0, 4.0, 4.0), plan.baseline.take(3))
        assertEquals(0.0, plan.scaleOut.sum(), 1e-9)
    }

    @Test
    fun `tasks that fell short of a plan are scaled out in the next plan`() {
        val machine = Machine("host-1", eightVcpuType, "z", false)
        val planner = planner()
        val job = job("req-1", 16, estimateS = 30, deadlineS = 300)
        planner.plan(planningRequest(listOf(job), listOf(machine)))
        planner.plan(planningRequest(listOf(job), listOf(machine), nowMicros = 60_000_000L))
        val plan = requireNotNull(planner.planOf(job))
        assertTrue(plan.topUpTasks > 3.0, "top-up ${plan.topUpTasks}")
        assertEquals(plan.topUpTasks, plan.scaleOut.sum(), 1e-6)
    }

    @Test
    fun `backup slots are scaled out for baseline capacity that is not free yet until it is granted`() {
        val machine = Machine("host-1", eightVcpuType, "z", false)
        val other = job("req-9", 8, estimateS = 30, deadlineS = 100)
        repeat(8) { index ->
            val running = Placement(machine, TaskId("req-9", index), 1, other)
            running.phase = Placement.Phase.RUNNING
            machine.add(running)
        }
        val planner = planner()
        val job = job("req-1", 8, estimateS = 30, deadlineS = 60)
        planner.plan(planningRequest(listOf(job), listOf(machine)))
        val backupSlots = planner.scaleOutDemands(listOf(job), { it === machine }, 0L).single().slots
        assertTrue(backupSlots > 0.0)
        repeat(8) { index ->
            val granted = Placement(machine, TaskId("req-1", index), 2, job)
            granted.phase = Placement.Phase.RUNNING
            job.add(granted)
        }
        assertEquals(0.0, planner.scaleOutDemands(listOf(job), { it === machine }, 0L).single().slots, 1e-9)
    }

    @Test
    fun `scaled-out machines do not defer work to a distant deadline`() {
        val tasks = 40
        // Two long intervals hold three tasks of 40 s one after another.
        assertEquals(tasks / 3.0, plan(job("req-1", tasks, estimateS = 40, deadlineS = 600), emptyList()).scaleOutSlots, 1e-6)
        assertEquals(tasks / 2.0, plan(job("req-1", tasks, estimateS = 40, deadlineS = 100), emptyList()).scaleOutSlots, 1e-6)
        assertEquals(tasks / 3.0, plan(job("req-1", tasks, estimateS = 40, deadlineS = 30), emptyList()).scaleOutSlots, 1e-6)
    }

    private fun plan(job: Job, machines: List<Machine>): JobPlan {
        val planner = planner()
        planner.plan(planningRequest(listOf(job), machines))
        return requireNotNull(planner.planOf(job))
    }
}

package linemast.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** When a machine on which tasks have failed gets no starts, and when it gets them again. */
class QuarantineTest {
    /** Guards against machines that stay closed for good: the failed jobs were forgotten when a task completed, the closing was not. */
    @Test
    fun `machines on which mistaken jobs failed get tasks again once a task has completed there`() {
        val scenario = QuarantineScenario(machineCount = 3)
        val ordinary = scenario.submit(taskCount = 3, vcpus = 5.0, seconds = 9)
        scenario.runUntil(10) { ordinary.placements.size == 3 }
        val mistaken = List(2) { scenario.submitMistaken(taskCount = 3).also { scenario.run(4) } }
        scenario.runUntil(30) { ordinary.isDone }
        mistaken.forEach(scenario.fixture.cluster::cancel)
        val next = scenario.submit(taskCount = 24, seconds = 3)
        assertTrue(scenario.runUntil(MAX_WAIT_SECONDS) { next.isDone } < MAX_WAIT_SECONDS, "no task is started in $MAX_WAIT_SECONDS s")
        assertTrue(ordinary.isDone)
    }

    @Test
    fun `a machine is quarantined whether a task that was running there completes before, between or after the failures`() {
        for (runSeconds in listOf(3, 6, 9)) {
            val scenario = QuarantineScenario(machineCount = 1)
            val machine = scenario.workers.single()
            scenario.submit(seconds = runSeconds)
            scenario.run(2)
            scenario.faulty += machine
            repeat(2) {
                scenario.submit()
                scenario.run(4)
            }
            assertTrue(scenario.isQuarantined(machine), "a task that ran for $runSeconds s completed")
            scenario.run(4)
            assertTrue(scenario.isQuarantined(machine), "a task that ran for $runSeconds s completed")
        }
    }

    @Test
    fun `mistaken jobs one after the other close no sound machine once they have failed on three`() {
        val scenario = QuarantineScenario(machineCount = 4)
        repeat(3) {
            scenario.submitMistaken(taskCount = 4, vcpus = 5.0)
            scenario.run(20)
            assertEquals(emptyList<String>(), scenario.workers.filter(scenario::isQuarantined).map { it.name })
        }
    }

    @Test
    fun `a machine is open again as soon as a job proves mistaken or is cancelled after the machine was closed`() {
        for (isCancelled in listOf(false, true)) {
            val scenario = QuarantineScenario(machineCount = 4)
            scenario.submit(taskCount = 3, vcpus = 8.0, seconds = 10)
            scenario.run(3)
            val free = scenario.workers.single { it.tasks.isEmpty() }
            val mistaken = List(2) { scenario.submitMistaken() }
            scenario.run(4)
            assertTrue(scenario.isQuarantined(free), "two jobs have failed there and nowhere else")
            if (isCancelled) scenario.fixture.cluster.cancel(mistaken.first())
            scenario.run(if (isCancelled) 1 else 14)
            assertFalse(scenario.isQuarantined(free), "cancelled: $isCancelled")
        }
    }

    @Test
    fun `a machine that was sick for seconds gets tasks again within 90 s`() {
        for (sickSeconds in listOf(6, 35, 70)) {
            val scenario = QuarantineScenario(machineCount = 1)
            val machine = scenario.workers.single()
            scenario.faulty += machine
            repeat(sickSeconds / 3) {
                scenario.submit()
                scenario.run(3)
            }
            scenario.faulty -= machine
            val next = scenario.submit()
            assertTrue(scenario.runUntil(MAX_WAIT_SECONDS) { next.isDone } < MAX_WAIT_SECONDS, "sick for $sickSeconds s")
        }
    }

    @Test
    fun `a machine that is faulty for good costs few tasks, also while it is not scaled in`() {
        val scenario = QuarantineScenario(machineCount = 4)
        val machine = scenario.workers.first()
        scenario.faulty += machine
        repeat(300) {
            scenario.submit(taskCount = 10, seconds = 3)
            scenario.run(1)
        }
        val startsThere = scenario.starts.filterKeys { it.second == machine.name }.values.sum()
        println("300 s with a faulty machine: $startsThere of ${scenario.starts.values.sum()} starts on it")
        // The tasks of two jobs until the machine is closed, then at most two trials a minute.
        assertTrue(startsThere <= 2 * 8 + 10, "$startsThere starts on the faulty machine")
    }

    @Test
    fun `a completed trial opens the machine for all tasks`() {
        val scenario = QuarantineScenario(machineCount = 1)
        val machine = scenario.workers.single()
        scenario.faulty += machine
        repeat(2) { scenario.submit() }
        scenario.run(4)
        assertTrue(scenario.isQuarantined(machine))
        scenario.faulty.clear()
        val array = scenario.submit(taskCount = 8, seconds = 3)
        scenario.runUntil(40) { array.placements.any { !it.isAssigned } }
        assertEquals(1, array.placements.size, "one task at a time on trial")
        scenario.runUntil(10) { array.completedCount > 0 }
        scenario.run(2)
        assertEquals(7, array.placements.size, "all others after the first has completed")
        assertEquals(0, scenario.fixture.cluster.machines.getValue(machine.name).health.quarantineCount)
    }

    private companion object {
        /** How long a job may wait while a machine that fits has room. */
        const val MAX_WAIT_SECONDS = 90
    }
}

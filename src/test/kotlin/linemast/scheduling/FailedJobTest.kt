package linemast.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** When a job is started again on a machine where one of its tasks has failed. */
class FailedJobTest {
    /** Guards against jobs that wait for ever beside the only machine that fits, since one of their tasks failed there once. */
    @Test
    fun `a job is started again within 90 s on a machine that was sick for seconds`() {
        for (isUsedByOthers in listOf(false, true)) {
            val scenario = QuarantineScenario(machineCount = 1)
            scenario.faulty += scenario.workers
            val job = scenario.submit()
            scenario.run(6)
            scenario.faulty.clear()
            if (isUsedByOthers) scenario.submit()
            val seconds = scenario.runUntil(MAX_WAIT_SECONDS) { job.isDone }
            println("done after $seconds s, machine used by others: $isUsedByOthers")
            assertTrue(seconds < MAX_WAIT_SECONDS, "machine used by others: $isUsedByOthers")
        }
    }

    @Test
    fun `a job that failed on all machines while they were sick is started within 90 s of their recovery`() {
        for (sickSeconds in listOf(10, 70, 200)) {
            val scenario = QuarantineScenario(machineCount = 6)
            scenario.faulty += scenario.workers
            val job = scenario.submit(taskCount = 4, vcpus = 4.0)
            scenario.run(sickSeconds)
            scenario.faulty.clear()
            val seconds = scenario.runUntil(MAX_WAIT_SECONDS) { job.completedCount > 0 }
            assertTrue(seconds < MAX_WAIT_SECONDS, "sick for $sickSeconds s")
        }
    }

    @Test
    fun `a mistaken job costs few starts however long it takes until its user cancels it`() {
        val scenario = QuarantineScenario(machineCount = 4)
        val mistaken = scenario.submitMistaken(taskCount = 400)
        scenario.run(5)
        fun starts() = scenario.starts.filterKeys { it.first == mistaken.id }.values.sum()
        val first = starts()
        scenario.run(600)
        println("mistaken job of 400 tasks: $first starts in 5 s, ${starts() - first} in the next 600 s")
        // One after each back-off of 32 s, then 60 s.
        assertTrue(starts() - first <= 600 / 60 + 2, "${starts() - first} starts after the first $first")
    }

    @Test
    fun `an array whose tasks run elsewhere is not held back by three sick machines`() {
        val scenario = QuarantineScenario(machineCount = 8)
        scenario.faulty += scenario.workers.take(3)
        val array = scenario.submit(taskCount = 40, seconds = 60)
        scenario.run(15)
        assertEquals(40, array.runningCount)
    }

    private companion object {
        /** How long a job may wait while a machine that fits has room. */
        const val MAX_WAIT_SECONDS = 90
    }
}

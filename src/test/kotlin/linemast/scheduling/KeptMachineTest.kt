package linemast.scheduling

import linemast.domain.Job
import linemast.domain.MachineType
import linemast.domain.TaskState
import linemast.testSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** How long a job leaves a large machine to a class of jobs that fits on no smaller one. */
class KeptMachineTest {
    private val large = MachineType("large", 32.0, 0.0, 128.0, 10.0, 1.0, 4.0, 1.0, 30_000_000, listOf("z"))
    private val fixture = ClusterFixture().also { it.cluster.machineTypes = listOf(ClusterFixture.TYPE, large).associateBy { it.name } }
    private val smallWorker = FakeWorker(fixture, "host-000001")
    private val largeWorker = FakeWorker(fixture, "host-000002", large)
    private val workers = listOf(smallWorker, largeWorker)

    private fun submit(id: String, jobClass: String, taskCount: Int, vcpus: Double): Job =
        fixture.submit(testSpec(id, "lane" to jobClass, "pieces" to taskCount, "vcpus" to vcpus, "loaners" to false))

    private fun run(seconds: Int) = repeat(seconds) {
        fixture.advance(1_000_000)
        workers.forEach { it.heartbeat() }
    }

    private fun endTasks(worker: FakeWorker) = worker.tasks.keys.toList().forEach { worker.tasks[it] = TaskState.ENDED }

    private fun runningOn(worker: FakeWorker, job: Job) = worker.tasks.keys.count { it.first.job == job.id }

    private fun keepLargeMachine() {
        run(2)
        submit("req-1", "wide", taskCount = 1, vcpus = 16.0)
        submit("req-2", "small", taskCount = 1, vcpus = 8.0)
        run(3)
        assertEquals(1, largeWorker.tasks.size)
        endTasks(largeWorker)
        run(3)
    }

    /** Guards against jobs that wait for ever beside an empty machine that is kept for a class without any job. */
    @Test
    fun `a job starts within 90 s on a large machine that is kept for a class of which no job waits`() {
        keepLargeMachine()
        val job = submit("req-3", "small", taskCount = 6, vcpus = 1.0)
        run(50)
        assertEquals(0, runningOn(largeWorker, job), "the machine is kept for a time")
        run(39)
        assertEquals(2, runningOn(largeWorker, job), "few tasks, so that the machine soon has room again")
    }

    @Test
    fun `a job that has waited for long leaves the large machine to a job that needs it now`() {
        keepLargeMachine()
        val job = submit("req-3", "small", taskCount = 6, vcpus = 1.0)
        run(50)
        val wide = submit("req-4", "wide", taskCount = 2, vcpus = 16.0)
        run(39)
        assertEquals(2, runningOn(largeWorker, wide))
        assertEquals(0, runningOn(largeWorker, job))
    }

    @Test
    fun `the remaining tasks of a job do not wait for over 90 s either`() {
        keepLargeMachine()
        val job = submit("req-3", "small", taskCount = 6, vcpus = 1.0)
        repeat(3) {
            run(89)
            endTasks(largeWorker)
            run(2)
        }
        assertTrue(job.isDone, "${job.completedCount} of 6 tasks in 270 s")
    }
}

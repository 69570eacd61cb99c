package linemast.scheduling

import linemast.domain.Job
import linemast.domain.JobRecord
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.domain.Placement
import linemast.domain.TaskId
import linemast.testSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Guards against a job that takes a machine with the image of another job of about the same rank, so that both have to fetch their
 * images, and against machines that are left to a job of another rank or to one that cannot use them.
 */
class ImageAffinityTest {
    private val type = MachineType("small", 8.0, 0.0, 16.0, 50.0, 0.2, 0.42, 0.1, 25_000_000, listOf("z"))
    private val machine = Machine("host-000001", type, "z", false).also { it.images += "held" }

    private fun job(id: String, image: String, priority: String = "normal", tasks: Int = 4) = Job(
        JobRecord(testSpec(id, "bundle" to image, "urgency" to priority, "pieces" to tasks), 0L, activated = true, cancelled = false),
        1L,
        inherited = false,
    )

    private fun rank(job: Job, dueSeconds: Long, withinQuota: Boolean = false, missed: Int = 0) =
        RankedJob(job, withinQuota, missed, dueSeconds * 1_000_000)

    private val jobWithoutImage = job("req-1", "other")

    private fun isLeftTo(other: RankedJob, hasQuotaHeadroom: Boolean = true): Boolean =
        ImageAffinity(listOf(rank(jobWithoutImage, 100), other)) { hasQuotaHeadroom }.prefersAnother(jobWithoutImage, machine)

    @Test
    fun `a machine is left to a job whose image it has and whose deadline is at most 60 seconds later`() {
        assertTrue(isLeftTo(rank(job("req-2", "held"), 160)))
        assertFalse(isLeftTo(rank(job("req-2", "held"), 161)))
        assertFalse(isLeftTo(rank(job("req-2", "third"), 90)))
    }

    @Test
    fun `a machine is not left to a job of another priority, with more missed objectives, or without pending tasks or quota headroom`() {
        assertFalse(isLeftTo(rank(job("req-2", "held", priority = "idle"), 100)))
        assertFalse(isLeftTo(rank(job("req-2", "held"), 100, missed = 1)))
        assertFalse(isLeftTo(rank(job("req-2", "held"), 100), hasQuotaHeadroom = false))
        val placed = job("req-2", "held", tasks = 1)
        placed.add(Placement(Machine("host-000002", type, "z", false), TaskId("req-2", 0), 1, placed))
        assertFalse(isLeftTo(rank(placed, 100)))
    }

    @Test
    fun `a job that is within its quota or starving may use any machine`() {
        val jobWithImage = rank(job("req-2", "held"), 100)
        jobWithoutImage.withinQuota = true
        assertFalse(isLeftTo(jobWithImage))
        jobWithoutImage.withinQuota = false
        jobWithoutImage.isStarving = true
        assertFalse(isLeftTo(jobWithImage))
    }

    @Test
    fun `a machine whose image no job needs gets tasks of any job in the same cycle`() {
        val fixture = ClusterFixture()
        val worker = FakeWorker(fixture, "host-000001")
        worker.heartbeatFor(3)
        fixture.cluster.machines.getValue(worker.name).images += "held"
        val job = fixture.submit("req-1", taskCount = 3)
        worker.heartbeatFor(2)
        assertEquals(3, job.completedOrPlacedCount)
    }
}

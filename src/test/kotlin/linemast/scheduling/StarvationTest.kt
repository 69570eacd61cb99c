package linemast.scheduling

import linemast.domain.TaskState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against jobs that never start because other jobs, which are larger or ranked before them, get all free capacity. */
class StarvationTest {
    @Test
    fun `a job behind a large one of its team starts within 160 seconds`() {
        val fixture = ClusterFixture(teams = """{ name = "team", cpus = 4, cpus_max = 4, gpus = 0, gpus_max = 0 }""")
        val worker = FakeWorker(fixture, "host-000001")
        worker.heartbeatFor(2)
        fixture.submit("req-1", 800)
        worker.heartbeatFor(2)
        val second = fixture.submit("req-2", 300)
        repeat(8) {
            worker.heartbeatFor(20)
            worker.tasks.keys.filter { worker.tasks[it] == TaskState.RUNNING }.forEach { worker.tasks[it] = TaskState.ENDED }
        }
        assertTrue(second.completedCount > 0 || second.placements.isNotEmpty(), "a starving array starts: no task after 160 s")
    }

    /** Two gangs each need all of both machines, while small tasks fill any free capacity: each gang has to get the machines in turn. */
    @Test
    fun `machines are reserved for one gang at a time, so that both gangs complete`() {
        val fixture = ClusterFixture()
        val workers = List(2) { FakeWorker(fixture, "host-00000$it") }
        workers.forEach { it.heartbeatFor(2) }
        fixture.submit("req-1", 600)
        var seconds = 0
        val gangs = listOf("req-2", "req-3").map { fixture.submit(it, 2, gang = true, vcpus = 8.0) }
        while (gangs.any { it.completedCount == 0 } && seconds < 300) {
            fixture.advance(1_000_000)
            seconds++
            workers.forEach { worker ->
                worker.heartbeat()
                // Tasks end at different times, so that both machines are never free at once by chance.
                val ends = worker.tasks.keys.filterIndexed { at, key ->
                    worker.tasks[key] == TaskState.RUNNING && (at + seconds) % 9 == 0
                }
                ends.filter { key -> gangs.none { it.id == key.first.job } || allRunTasksOf(workers, key.first.job) }
                    .forEach { worker.tasks[it] = TaskState.ENDED }
            }
        }
        assertTrue(gangs.all { it.completedCount == 2 }, "both gangs complete; after $seconds s: ${gangs.map { it.completedCount }} tasks")
    }

    private fun allRunTasksOf(workers: List<FakeWorker>, job: String) =
        workers.all { worker -> worker.tasks.keys.any { it.first.job == job } }

    /** With more gangs than capacity, placing the longest-waiting gang first made every gang late. */
    @Test
    fun `a gang that can start in time goes before a late one, until the late one has waited for over 600 seconds`() {
        val fixture = ClusterFixture()
        val workers = List(2) { FakeWorker(fixture, "host-00000$it") }
        fun heartbeat(seconds: Int) = repeat(seconds) {
            fixture.advance(1_000_000)
            workers.forEach { it.heartbeat() }
        }
        fun end() = workers.forEach { worker -> worker.tasks.keys.forEach { worker.tasks[it] = TaskState.ENDED } }
        fun running() = workers.flatMap { worker -> worker.tasks.keys.map { it.first.job } }.toSet()
        heartbeat(3)
        fixture.submit("req-1", 2, gang = true, vcpus = 8.0)
        heartbeat(5)
        fixture.submit("req-2", 2, gang = true, vcpus = 8.0)
        heartbeat(140)
        fixture.submit("req-3", 2, gang = true, vcpus = 8.0)
        heartbeat(160)
        assertEquals(setOf("req-1"), running())
        end()
        heartbeat(5)
        assertEquals(setOf("req-3"), running(), "a gang that waited 160 s, still in time, goes before a late one that waited 300 s")
        heartbeat(300)
        fixture.submit("req-4", 2, gang = true, vcpus = 8.0)
        heartbeat(20)
        end()
        heartbeat(5)
        assertEquals(setOf("req-2"), running(), "a late gang that waited over 600 s goes first")
    }
}

package linemast.scheduling

import linemast.domain.TaskState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Jobs that have waited for long get their first tasks, whatever else is pending. */
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
        assertTrue(second.doneCount > 0 || second.placements.isNotEmpty(), "not started after 160 s")
    }

    /** Two gangs that need both machines whole, while small work keeps coming: each gets them in turn. */
    @Test
    fun `machines are reserved for one gang at a time`() {
        val fixture = ClusterFixture()
        val workers = List(2) { FakeWorker(fixture, "host-00000$it") }
        workers.forEach { it.heartbeatFor(2) }
        fixture.submit("req-1", 600)
        var seconds = 0
        val gangs = listOf("req-2", "req-3").map { fixture.submit(it, 2, gang = true, vcpus = 8.0) }
        while (gangs.any { it.doneCount == 0 } && seconds < 300) {
            fixture.advance(1_000_000)
            seconds++
            workers.forEach { worker ->
                worker.heartbeat()
                // Staggered ends: never both machines free by chance.
                val ends = worker.tasks.keys.filterIndexed { at, key ->
                    worker.tasks[key] == TaskState.RUNNING && (at + seconds) % 9 == 0
                }
                ends.filter { key -> gangs.none { it.id == key.first.job } || allRunTasksOf(workers, key.first.job) }
                    .forEach { worker.tasks[it] = TaskState.ENDED }
            }
        }
        assertTrue(gangs.all { it.doneCount == 2 }, "gangs done after $seconds s: ${gangs.map { it.doneCount }}")
    }

    private fun allRunTasksOf(workers: List<FakeWorker>, job: String) =
        workers.all { worker -> worker.tasks.keys.any { it.first.job == job } }

    /** With more gangs than capacity, the longest waiting first once made every one of them late. */
    @Test
    fun `a gang that can start in time goes before a late one, and the late one goes first before it starves`() {
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
        assertEquals(setOf("req-3"), running(), "300 s and 160 s old")
        heartbeat(300)
        fixture.submit("req-4", 2, gang = true, vcpus = 8.0)
        heartbeat(20)
        end()
        heartbeat(5)
        assertEquals(setOf("req-2"), running(), "over 600 s old")
    }
}

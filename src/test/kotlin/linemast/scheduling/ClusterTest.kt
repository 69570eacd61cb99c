package linemast.scheduling

import linemast.domain.Command
import linemast.domain.Heartbeat
import linemast.domain.JobRecord
import linemast.domain.TaskId
import linemast.domain.TaskState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class ClusterTest {
    /** Two clusters hear the same worker; one also gets copies of its reports, up to several leases late. */
    @Test
    fun `late copies of heartbeats change nothing`() {
        val seed = 11
        println("seed $seed")
        repeat(20) { round ->
            val random = Random(seed + round)
            val fixture = ClusterFixture()
            val worker = HandWorker(fixture, "host-000001")
            fixture.submit("req-1", 40)
            val sent = ArrayList<Heartbeat>()
            repeat(40) {
                fixture.pass(1_000_000)
                if (random.nextInt(3) == 0) worker.tasks.keys.randomOrNull(random)?.let { worker.tasks[it] = TaskState.ENDED }
                worker.heartbeat()
                sent += worker.makeReport().also { worker.sequenceNumber-- }
                val before = state(fixture)
                repeat(random.nextInt(3)) {
                    val copy = sent[random.nextInt(sent.size)]
                    if (copy.sequenceNumber < worker.sequenceNumber) assertEquals(emptyList<Command>(), fixture.heartbeat(copy))
                }
                assertEquals(before, state(fixture))
            }
        }
    }

    private fun state(fixture: ClusterFixture) = fixture.cluster.machines.values.map { machine ->
        listOf(
            machine.name,
            machine.incarnation,
            machine.sequenceNumber,
            machine.fencingToken,
            machine.lastHeartbeatMicros,
            machine.leaseEndMicros,
            machine.placements.keys.toList(),
        )
    } to fixture.cluster.jobs.values.map { it.doneCount to it.pendingCount }

    @Test
    fun `no start leaves before the worker shows this fencing token and acknowledges responses`() {
        val fixture = ClusterFixture()
        val worker = HandWorker(fixture, "host-000001")
        fixture.submit("req-1", 4)
        worker.reportFor(5, answered = false)
        assertEquals(0, worker.tasks.size)
        worker.fencingToken = fixture.fencingToken
        fixture.pass(10_000_000)
        // The first report after a silence may come from a worker that no answer reaches.
        assertEquals(emptyList<Command>(), worker.heartbeat())
        assertEquals(4, worker.reportFor(2).count { it is Command.Start })
        // Chosen while it heard, but not sent before it fell silent.
        fixture.submit("req-2", 4)
        fixture.pass(6_000_000)
        assertEquals(0, worker.heartbeat().count { it is Command.Start })
    }

    @Test
    fun `a machine that answers do not reach gets no more work and its tasks run elsewhere, once`() {
        val fixture = ClusterFixture()
        val deaf = HandWorker(fixture, "host-000001")
        fixture.submit("req-1", 8)
        deaf.reportFor(4)
        assertEquals(8, deaf.tasks.size)
        val other = HandWorker(fixture, "host-000002")
        // Its reports get through every five seconds, no answer does: its lease ends and it begins a new session.
        repeat(2) {
            other.reportFor(5)
            assertFalse(deaf.heartbeat(answered = false).any { it is Command.Start })
            assertEquals(0, other.tasks.size, "they may still run on the first machine")
        }
        deaf.incarnation++
        deaf.tasks.clear()
        other.reportFor(1)
        assertFalse(deaf.heartbeat(answered = false).any { it is Command.Start })
        other.reportFor(3)
        assertEquals(8, other.tasks.size)
        assertTrue(fixture.cluster.machines.getValue(deaf.name).unacknowledgedSinceMicros > 0)
    }

    @Test
    fun `a late copy does not bring a returned machine back`() {
        val fixture = ClusterFixture()
        val worker = HandWorker(fixture, "host-000001")
        worker.reportFor(3)
        val copy = worker.makeReport()
        fixture.cluster.returned(listOf(worker.name))
        assertEquals(emptyList<Command>(), fixture.heartbeat(copy))
        assertFalse(worker.name in fixture.cluster.machines)
    }

    @Test
    fun `a worker that begins from the start is taken in again after its lease, one late copy is not`() {
        val fixture = ClusterFixture()
        val worker = HandWorker(fixture, "host-000001")
        fixture.submit("req-1", 4)
        worker.reportFor(6)
        assertEquals(4, worker.tasks.size)
        val machine = fixture.cluster.machines.getValue(worker.name)
        val old = worker.makeReport().also(fixture::heartbeat)
        worker.sequenceNumber = 0
        worker.tasks.clear()
        worker.reportFor(2)
        assertEquals(4, machine.placements.size, "within the lease the earlier worker may still run them")
        fixture.pass(12_000_000)
        fixture.heartbeat(old)
        worker.reportFor(5)
        assertEquals(4, worker.tasks.size)
    }

    /**
     * A machine was back at once: its worker counts from the start, and takes up work again. A copy of a report from
     * before, which counts further, must not make the leader believe that this work is gone.
     */
    @Test
    fun `a late copy from before a worker began from the start does not end its new tasks`() {
        for (sessions in listOf(1L, 3L)) {
            val fixture = ClusterFixture()
            val worker = HandWorker(fixture, "host-000001").apply { incarnation = sessions }
            worker.reportFor(60)
            val copy = worker.makeReport()
            worker.incarnation = 1
            worker.sequenceNumber = 0
            worker.fencingToken = 0
            worker.reportFor(30)
            fixture.submit("req-1", 8)
            worker.reportFor(5)
            assertEquals(8, worker.tasks.size)
            val machine = fixture.cluster.machines.getValue(worker.name)
            assertNull(fixture.cluster.heartbeat(copy, fixture.now))
            assertEquals(8, machine.placements.size)
            worker.reportFor(2)
            assertEquals(8, machine.placements.size)
        }
    }

    /** A worker that looks like an older one may hold tasks: an answer would renew a lease that the leader's records do not count. */
    @Test
    fun `a heartbeat that does not count gets no answer`() {
        val fixture = ClusterFixture()
        val worker = HandWorker(fixture, "host-000001")
        worker.reportFor(6)
        worker.sequenceNumber = 0
        assertNull(fixture.cluster.heartbeat(worker.makeReport(), fixture.now))
    }

    /** A copy of a report to an earlier leader must not count as proof that the machine has heard of this one. */
    @Test
    fun `after a take-over opened jobs wait for machines that can hold their tasks, and for no late copy`() {
        val opened = JobRecord(ClusterFixture.spec("req-1", 4), 0, opened = true, cancelled = false)
        val fixture = ClusterFixture(recorded = listOf("host-000001", "host-000002"), open = listOf(opened))
        val here = HandWorker(fixture, "host-000001")
        val silent = HandWorker(fixture, "host-000002").apply { fencingToken = 4 }
        here.reportFor(2)
        fixture.heartbeat(silent.makeReport())
        here.reportFor(3)
        assertEquals(0, here.tasks.size)
        fixture.pass(ClusterFixture.GRACE_MICROS)
        here.reportFor(3)
        assertEquals(0, here.tasks.size, "the lease may have been renewed to the end of the grace")
        here.reportFor(12)
        assertEquals(4, here.tasks.size)
    }

    /** Spot machines are taken without notice all the time: each take-over waited for a lease because of them. */
    @Test
    fun `a machine that most others of its zone outlive is confirmed gone at a take-over, and ends the wait`() {
        val opened = JobRecord(ClusterFixture.spec("req-1", 4), 0, opened = true, cancelled = false)
        val names = List(5) { "host-00000$it" }
        val fixture = ClusterFixture(recorded = names, open = listOf(opened))
        val workers = names.take(4).map { HandWorker(fixture, it) }
        fun heartbeat(seconds: Int, who: List<HandWorker>) = repeat(seconds) {
            fixture.pass(1_000_000)
            who.forEach { it.heartbeat() }
        }
        heartbeat(5, workers.take(2))
        assertEquals(emptySet<String>(), fixture.cluster.failover.zonesMostlyReporting(), "a zone may be cut off")
        heartbeat(2, workers)
        assertEquals(setOf("z"), fixture.cluster.failover.zonesMostlyReporting())
        assertEquals(listOf("host-000004"), fixture.cluster.failover.missingMachines(fixture.now).map { it.name })
        assertFalse(fixture.cluster.isReconciled)
        fixture.cluster.returned(listOf("host-000004"))
        heartbeat(2, workers)
        assertTrue(fixture.cluster.isReconciled)
        assertEquals(4, workers.sumOf { it.tasks.size })
    }

    /** They stayed on record, and the next leader waited a lease for each of them. */
    @Test
    fun `a machine whose lease is over is taken off the record, and put there again before it gets a start`() {
        val fixture = ClusterFixture()
        val worker = HandWorker(fixture, "host-000001")
        worker.reportFor(3)
        val machine = fixture.cluster.machines.getValue(worker.name)
        assertTrue(machine.isRegistered)
        fixture.pass(10_000_000)
        assertTrue(machine.isRegistered, "its lease may still run")
        fixture.pass(2_000_000)
        assertFalse(machine.isRegistered)
        assertEquals(listOf(worker.name), fixture.droppedMachines)
        fixture.submit("req-1", 4)
        worker.incarnation++
        worker.reportFor(2)
        assertTrue(machine.isRegistered)
        worker.reportFor(2)
        assertEquals(4, worker.tasks.size)
    }

    @Test
    fun `a job behind a large one of its team begins within four minutes`() {
        val fixture = ClusterFixture(teams = """{ name = "team", cpus = 4, cpus_max = 4, gpus = 0, gpus_max = 0 }""")
        val worker = HandWorker(fixture, "host-000001")
        worker.reportFor(2)
        fixture.submit("req-1", 800)
        worker.reportFor(2)
        val second = fixture.submit("req-2", 300)
        repeat(8) {
            worker.reportFor(20)
            worker.tasks.keys.filter { worker.tasks[it] == TaskState.RUNNING }.forEach { worker.tasks[it] = TaskState.ENDED }
        }
        assertTrue(second.doneCount > 0 || second.placements.isNotEmpty(), "not begun after 160 s")
    }

    /** Two gangs that need both machines whole, while small work keeps coming: each gets them in turn. */
    @Test
    fun `machines are reserved for one gang at a time`() {
        val fixture = ClusterFixture()
        val workers = List(2) { HandWorker(fixture, "host-00000$it") }
        workers.forEach { it.reportFor(2) }
        fixture.submit("req-1", 600)
        var seconds = 0
        val gangs = listOf("req-2", "req-3").map { fixture.submit(it, 2, gang = true, vcpus = 8.0) }
        while (gangs.any { it.doneCount == 0 } && seconds < 300) {
            fixture.pass(1_000_000)
            seconds++
            workers.forEach { worker ->
                worker.heartbeat()
                // Staggered ends: never both machines free by chance.
                val ends = worker.tasks.keys.filterIndexed { at, key ->
                    worker.tasks[key] == TaskState.RUNNING && (at + seconds) % 9 == 0
                }
                ends.filter { key -> gangs.none { it.id == key.first.job } || bothHold(workers, key.first.job) }
                    .forEach { worker.tasks[it] = TaskState.ENDED }
            }
        }
        assertTrue(gangs.all { it.doneCount == 2 }, "gangs done after $seconds s: ${gangs.map { it.doneCount }}")
    }

    /** With more gangs than room, the longest waiting first once made every one of them late. */
    @Test
    fun `a gang that can begin in time goes before one that is late, and the late one before it starves`() {
        val fixture = ClusterFixture()
        val workers = List(2) { HandWorker(fixture, "host-00000$it") }
        fun heartbeat(seconds: Int) = repeat(seconds) {
            fixture.pass(1_000_000)
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

    private fun bothHold(workers: List<HandWorker>, job: String) = workers.all { worker -> worker.tasks.keys.any { it.first.job == job } }

    /** A worker that renews its lease with each answer and does not end what it was told to end. */
    @Test
    fun `a cancelled task that does not end costs its machine the lease in time`() {
        val fixture = ClusterFixture()
        val worker = HandWorker(fixture, "host-000001")
        fixture.submit("req-1", 2)
        fixture.submit("req-2", 2)
        worker.reportFor(4)
        assertEquals(4, worker.tasks.size)
        val stubborn = worker.tasks.keys.first { it.first.job == "req-1" }
        fixture.cluster.cancel(fixture.cluster.jobs.getValue("req-1"))
        val cancelledMicros = fixture.now
        var answeredMicros = 0L
        repeat(40) {
            fixture.pass(1_000_000)
            val commands = fixture.cluster.heartbeat(worker.makeReport(), fixture.now)
            if (commands != null) {
                answeredMicros = fixture.now
                assertTrue(commands.any { it is Command.Stop && it.task == stubborn.first }, "told again and again")
            }
        }
        val workers = fixture.workers
        assertTrue(answeredMicros > cancelledMicros + 5_000_000)
        assertTrue(answeredMicros + workers.leaseMicros < cancelledMicros + workers.cancelMicros)
    }

    @Test
    fun `without the leadership nothing is ordered but the end of what is cancelled`() {
        val fixture = ClusterFixture()
        val worker = HandWorker(fixture, "host-000001")
        fixture.submit("req-1", 2)
        fixture.submit("req-2", 2)
        worker.reportFor(4)
        fixture.cluster.cancel(fixture.cluster.jobs.getValue("req-1"))
        fixture.submit("req-3", 2)
        fixture.pass(1_000_000)
        val commands = fixture.cluster.heartbeat(worker.makeReport(), fixture.now, CommandPermission.NO_COMMANDS).orEmpty()
        assertEquals(setOf("req-1/0", "req-1/1"), commands.map { (it as Command.Stop).task.toString() }.toSet())
        fixture.pass(1_000_000)
        val next = fixture.cluster.heartbeat(worker.makeReport(), fixture.now, CommandPermission.NO_STARTS).orEmpty()
        assertTrue(next.none { it is Command.Start }, "cancellations may be unknown")
        fixture.pass(1_000_000)
        assertEquals(2, fixture.heartbeat(worker.makeReport()).count { it is Command.Start })
    }

    /** Its end was committed without an answer, and the store's news of it came first. */
    @Test
    fun `a job whose record is gone is stopped where it still is, and then forgotten`() {
        val fixture = ClusterFixture()
        val worker = HandWorker(fixture, "host-000001")
        fixture.submit("req-1", 1)
        worker.reportFor(4)
        assertEquals(1, worker.tasks.size)
        fixture.cluster.dropJob("req-1")
        assertEquals(listOf("req-1/0"), worker.reportFor(1).map { (it as Command.Stop).task.toString() })
        worker.reportFor(2)
        assertEquals(emptySet<String>(), fixture.cluster.jobs.keys)
    }

    /** After a restart a copy from before may count just as the next report would, and list nothing. */
    @Test
    fun `a copy that counts like the next heartbeat does not end tasks that were reported, nor a start on its way`() {
        for (seen in listOf(true, false)) {
            val fixture = ClusterFixture()
            val worker = HandWorker(fixture, "host-000001")
            worker.reportFor(60)
            worker.incarnation = 1
            worker.sequenceNumber = 0
            worker.fencingToken = 0
            worker.reportFor(30)
            val job = fixture.submit("req-1", 8)
            worker.reportFor(if (seen) 5 else 2)
            assertEquals(8, worker.tasks.size)
            fixture.pass(1_000_000)
            val before = job.placements.map { it.key }.toSet()
            val copy =
                Heartbeat(
                    worker.name,
                    "",
                    ClusterFixture.TYPE.name,
                    "z",
                    false,
                    1,
                    worker.sequenceNumber + 1,
                    fixture.fencingToken,
                    null,
                    emptyList(),
                )
            fixture.cluster.heartbeat(copy, fixture.now)
            assertEquals(before, job.placements.map { it.key }.toSet())
            worker.sequenceNumber++
            worker.reportFor(3)
            assertEquals(before, job.placements.map { it.key }.toSet())
        }
    }

    /** One of its tasks says that it is done, another may still be on a machine that the new leader has not heard. */
    @Test
    fun `an unconfirmed task of a gang that is done counts against its team's limit`() {
        val open = JobRecord(ClusterFixture.spec("req-1", 2, gang = true, vcpus = 6.0), 0, opened = true, cancelled = false)
        val team = """{ name = "team", cpus = 8, cpus_max = 8, gpus = 0, gpus_max = 0 }"""
        val fixture = ClusterFixture(teams = team, recorded = listOf("host-000001", "host-000002"), open = listOf(open))
        val worker = HandWorker(fixture, "host-000001")
        worker.tasks[TaskId("req-1", 0) to 1L] = TaskState.ENDED
        worker.reportFor(4)
        assertEquals(emptySet<String>(), fixture.cluster.jobs.keys, "done")
        fixture.submit("req-2", 8)
        worker.reportFor(4)
        assertTrue(worker.tasks.size <= 2, "6 of 8 vcpus may still be used: ${worker.tasks.keys}")
        worker.reportFor(40)
        assertEquals(8, worker.tasks.size, "the silent machine's lease is over")
    }
}

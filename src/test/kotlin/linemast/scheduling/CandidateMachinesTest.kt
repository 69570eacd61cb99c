package linemast.scheduling

import linemast.domain.Job
import linemast.domain.JobRecord
import linemast.domain.JobSpec
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.domain.Placement
import linemast.domain.Reservation
import linemast.domain.TaskId
import linemast.testSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Guards against an index by kind and free capacity that finds other machines for a job than an exhaustive search of the fleet. */
class CandidateMachinesTest {
    private val types = listOf(
        MachineType("small", 4.0, 0.0, 16.0, 10.0, 1.0, 0.4, 0.1, 30_000_000, listOf("a", "b")),
        MachineType("middle", 16.0, 0.0, 64.0, 10.0, 1.0, 1.5, 0.5, 30_000_000, listOf("a", "b")),
        MachineType("accelerated", 16.0, 4.0, 64.0, 10.0, 1.0, 6.0, 2.0, 30_000_000, listOf("a", "b")),
    )

    @Test
    fun `candidates equal those of an exhaustive search, in the same order`() {
        val seed = 23
        println("seed $seed")
        var compared = 0
        repeat(200) { round ->
            val random = Random(seed * 1_000 + round)
            val jobs = List(8) { job(it, random) }
            val scarceTypes = ScarceTypes().apply { learn(jobs.map { it.spec }, types, 0L) }
            val machines = List(random.nextInt(1, 60)) { machine(it, jobs, random) }
            val candidateMachines = CandidateMachines(machines, scarceTypes, ::nextHeartbeatOrder)
            for (job in jobs) {
                val expected = exhaustiveSearch(job, machines, scarceTypes)
                assertEquals(
                    expected.map { it.name },
                    candidateMachines.candidates(job).map { it.name }.toList(),
                    "${job.spec.jobClass} ${job.spec.vcpus}",
                )
                compared += expected.size
                // The next search must reflect the placed task, in the free capacity and in the number of idle machines.
                val machine = expected.randomOrNull(random) ?: continue
                val placement = Placement(machine, TaskId(job.id, job.nextPending(0)), 1, job)
                machine.add(placement)
                candidateMachines.recordAssigned(placement)
                for (other in machines) {
                    val expectedWithheld = isWithheldByDefinition(job.spec, other, machines, scarceTypes)
                    assertEquals(expectedWithheld, candidateMachines.isWithheld(job.spec, other))
                }
            }
        }
        assertTrue(compared > 10_000, "only $compared candidates were compared, too few for the test to be meaningful")
    }

    private fun nextHeartbeatOrder(machine: Machine) = machine.name.hashCode() and 3

    private fun exhaustiveSearch(job: Job, machines: List<Machine>, scarceTypes: ScarceTypes): List<Machine> = machines
        .filter { (it.reservedFor == null || it.reservedFor === job) && it.allows(job.spec) && it.fits(job) }
        .filter { !job.failures.isExcluded(it.name) }
        .sortedWith(
            compareBy(
                { it.reservedFor !== job },
                { it.reservedFor !== job && scarceTypes.scarcityOf(it.type, it.spot, job.spec).isScarce },
                { it.reservedFor !== job && job.withinQuota && job.spec.image !in it.images },
                { if (it.reservedFor !== job && job.withinQuota) nextHeartbeatOrder(it) else 0 },
                { it.reservedFor !== job && !it.isBaseline },
                { if (it.reservedFor === job || it.isBaseline) 0.0 else it.pricePerVcpu },
                { if (it.reservedFor === job) 0.0 else it.type.vcpus + it.type.gpus * 16 },
                { it.reservedFor !== job && job.spec.image !in it.images },
                { if (it.reservedFor === job) 0.0 else it.freeVcpus },
            ),
        )

    private fun isWithheldByDefinition(spec: JobSpec, machine: Machine, machines: List<Machine>, scarceTypes: ScarceTypes): Boolean {
        val scarcity = scarceTypes.scarcityOf(machine.type, machine.spot, spec)
        if (!scarcity.isScarce || scarcity.isExcluded) return scarcity.isExcluded
        return machine.placements.isEmpty() && machines.count { it.type.name in scarcity.neededTypes && it.placements.isEmpty() } <= 1
    }

    private fun machine(number: Int, jobs: List<Job>, random: Random): Machine {
        val machine = Machine("host-%06d".format(number), types.random(random), listOf("a", "b").random(random), random.nextBoolean())
        machine.isBaseline = !machine.spot && random.nextBoolean()
        repeat(random.nextInt(4)) { machine.images += "img-${random.nextInt(3)}" }
        repeat(random.nextInt(6)) { at ->
            val job = jobs.random(random)
            if (machine.fits(job)) machine.add(Placement(machine, TaskId("req-99", at), 1, job))
        }
        if (random.nextInt(6) == 0) machine.reservation = Reservation(jobs.random(random), untilMicros = 0)
        if (random.nextInt(8) == 0) jobs.random(random).failures.recordFailure(machine.name, nowMicros = 0)
        return machine
    }

    private fun job(number: Int, random: Random): Job {
        val gpus = if (random.nextInt(4) == 0) 1.0 else 0.0
        val spec = testSpec(
            "req-$number", "lane" to "lane-${number % 4}", "urgency" to listOf("critical", "high", "normal", "idle")[number % 4],
            "pieces" to 20, "vcpus" to listOf(0.5, 1.0, 1.3, 4.0, 12.0)[number % 4 + if (gpus > 0) 1 else 0], "gpus" to gpus,
            "bundle" to "img-${random.nextInt(3)}", "yard" to listOf(null, "a", "b")[random.nextInt(3)],
            "loaners" to random.nextBoolean(), "guess_s" to 10.0, "due_s" to 100.0,
        )
        val job = Job(JobRecord(spec, 0L, activated = true, cancelled = false), 1L, inherited = false)
        job.withinQuota = random.nextBoolean()
        return job
    }
}

package linemast.admission

import linemast.domain.Job
import linemast.domain.JobRecord
import linemast.settings.AdmissionSettings
import linemast.settings.Objective
import linemast.testSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/** The leader's planning in a closed loop with users who retry when told, and the round robin of starts. */
class AdmissionPlannerTest {
    private val settings = AdmissionSettings()

    /** Users of one flow: new ids at a rate, each asking one of three controllers until it is taken or gives up. */
    private class Users(val flow: Flow, val perSecond: (Int) -> Double, val entry: (Int) -> Int) {
        val nextTry = HashMap<String, Int>()
        val firstTry = HashMap<String, Int>()
        val waits = ArrayList<Int>()
        var gaveUp = 0
        private var owed = 0.0
        private var count = 0

        fun arrive(second: Int) {
            owed += perSecond(second)
            while (owed >= 1) {
                owed--
                val id = "req-$flow-${count++}"
                nextTry[id] = second
                firstTry[id] = second
            }
        }
    }

    private fun run(seconds: Int, capacity: Double, users: List<Users>, openLimit: AdmissionSettings = settings): List<Int> {
        val meters = List(3) { DemandMeter() }
        val planner = AdmissionPlanner(openLimit, capacity)
        val open = HashMap<Flow, Int>()
        var plan = AdmissionPlan.UNLIMITED
        return List(seconds) { second ->
            val now = second * 1_000_000L
            if (second % 2 == 0) {
                val demands = meters.flatMap { it.demands(now).entries }.groupBy({ it.key }, { it.value }).mapValues { (_, parts) ->
                    FlowDemand(parts.sumOf { it.offeredRate }, parts.sumOf { it.acceptedRate }, parts.sumOf { it.deferredJobs })
                }
                plan = AdmissionPlan(plan.epoch + 1, 1, planner.next(plan.ranges, demands, open, 2_000_000))
            }
            var taken = 0
            for (each in users) {
                each.arrive(second)
                for (id in each.nextTry.filterValues { it <= second }.keys.toList()) {
                    if (second - each.firstTry.getValue(id) > 60) {
                        each.nextTry.remove(id)
                        each.gaveUp++
                        continue
                    }
                    val meter = meters[each.entry(second)]
                    meter.recordOffered(each.flow, id, now)
                    when (val decision = plan.decide(each.flow, id)) {
                        is AdmissionDecision.Deferred -> each.nextTry[id] = second + decision.retryAfterSeconds
                        AdmissionDecision.Admitted -> {
                            meter.recordAccepted(id, now)
                            each.nextTry.remove(id)
                            each.waits += second - each.firstTry.getValue(id)
                            open.merge(each.flow, 1, Int::plus)
                            taken++
                        }
                    }
                }
            }
            taken
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [35])
    fun `a flooding team is held to its share, wherever its flood arrives, and nobody else is deferred`(seed: Int) {
        val random = Random(seed)
        for (floodEntry in listOf<(Int) -> Int>({ 0 }, { random.nextInt(3) })) {
            val flood = Users(Flow("north", "tiny"), { if (it in 20..140) 60.0 else 0.5 }, floodEntry)
            val intake = Users(Flow("intake", "match"), { 2.0 }) { random.nextInt(3) }
            val pulls = Users(Flow("south", "pull"), { 0.5 }) { random.nextInt(3) }
            val taken = run(240, capacity = 10.0, listOf(flood, intake, pulls))
            assertEquals(listOf(0, 0), listOf(intake.waits.max(), pulls.waits.max()))
            val steady = taken.subList(40, 140).average()
            assertTrue(steady in 6.0..14.0, "$steady a second of a capacity of 10")
            assertTrue(flood.waits.max() <= 62, "nobody is kept longer than users wait")
            assertTrue(flood.nextTry.size < 20, "${flood.nextTry.size} still wait 100 s after the flood")
            println("taken $steady/s, flood: ${flood.waits.size} taken, ${flood.gaveUp} gave up")
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [36])
    fun `a short burst is worked off and nobody gives up`(seed: Int) {
        val random = Random(seed)
        val burst = Users(Flow("north", "tiny"), { if (it in 20..24) 60.0 else 0.1 }) { random.nextInt(3) }
        val other = Users(Flow("south", "pull"), { 1.0 }) { random.nextInt(3) }
        run(150, capacity = 10.0, listOf(burst, other))
        assertEquals(0, burst.gaveUp)
        assertEquals(0, burst.nextTry.size)
        assertEquals(0, other.waits.max())
    }

    @ParameterizedTest
    @ValueSource(ints = [37])
    fun `beyond the limit of open jobs, the team that has most of them is limited to the minimum rate`(seed: Int) {
        val random = Random(seed)
        val few = AdmissionSettings(maxOpenJobs = 300)
        val flood = Users(Flow("north", "tiny"), { 8.0 }) { random.nextInt(3) }
        val other = Users(Flow("south", "pull"), { 0.4 }) { random.nextInt(3) }
        val taken = run(300, capacity = 50.0, listOf(flood, other), few)
        assertEquals(0, other.waits.max())
        assertTrue(taken.takeLast(60).average() < 2.0, "${taken.takeLast(60).average()} a second")
        assertTrue(taken.takeLast(60).sum() > 30, "the minimum rate is kept")
    }

    private fun job(number: Int, team: String, jobClass: String): Job {
        val spec = testSpec("req-%06d".format(number), "crew" to team, "lane" to jobClass)
        return Job(JobRecord(spec, number.toLong(), activated = true, cancelled = false), 1, false)
    }

    @Test
    fun `a flow's waiting job starts after a few of each other flow, however many wait there`() {
        val classes = listOf("match", "pull")
        val turns = FlowRoundRobin(FlowClassifier(classes.map { Objective.Wait(it, 1) }))
        val flood = List(3_000) { job(it, "north", "match") }
        val others = listOf(job(5_000, "north", "pull"), job(5_001, "south", "match"), job(5_002, "south", "unknown"))
        var waiting = flood + others
        val served = ArrayList<Job>()
        repeat(30) {
            val next = turns.next(waiting).first()
            turns.recordServed(next)
            served += next
            waiting = waiting - next
        }
        assertTrue(served.take(4).containsAll(others), served.take(4).map { it.id }.toString())
        assertEquals(flood.take(27), served - others.toSet(), "its own order is kept")
        assertTrue(turns.next(waiting).size <= FlowRoundRobin.JOBS_PER_FLOW)
    }
}

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

/**
 * Guards against a team that delays other teams by submitting many jobs: the planner must limit only the flows above their share. The
 * planner runs in a closed loop with simulated users, who retry at the announced times. Also covers the round robin of starts.
 */
class AdmissionPlannerTest {
    private val settings = AdmissionSettings()

    /**
     * The users of one flow. They submit new jobs at the rate [newJobsPerSecond] and retry each submission until it is accepted or 60
     * seconds have passed. Each call goes to the one of three controllers that [controllerAt] gives for the second.
     */
    private class Users(val flow: Flow, val newJobsPerSecond: (Int) -> Double, val controllerAt: (Int) -> Int) {
        val nextAttempt = HashMap<String, Int>()
        val firstAttempt = HashMap<String, Int>()
        val waitSeconds = ArrayList<Int>()
        var gaveUpCount = 0
        private var dueJobs = 0.0
        private var count = 0

        fun submitNewJobs(second: Int) {
            dueJobs += newJobsPerSecond(second)
            while (dueJobs >= 1) {
                dueJobs--
                val id = "req-$flow-${count++}"
                nextAttempt[id] = second
                firstAttempt[id] = second
            }
        }
    }

    private fun run(seconds: Int, capacity: Double, users: List<Users>, plannerSettings: AdmissionSettings = settings): List<Int> {
        val meters = List(3) { DemandMeter() }
        val planner = AdmissionPlanner(plannerSettings, capacity)
        val openJobs = HashMap<Flow, Int>()
        var plan = AdmissionPlan.UNLIMITED
        return List(seconds) { second ->
            val now = second * 1_000_000L
            if (second % 2 == 0) {
                val demands = meters.flatMap { it.demands(now).entries }.groupBy({ it.key }, { it.value }).mapValues { (_, parts) ->
                    FlowDemand(parts.sumOf { it.offeredRate }, parts.sumOf { it.acceptedRate }, parts.sumOf { it.deferredJobs })
                }
                plan = AdmissionPlan(plan.epoch + 1, 1, planner.planRanges(plan.ranges, demands, openJobs, 2_000_000))
            }
            var acceptedCount = 0
            for (flowUsers in users) {
                flowUsers.submitNewJobs(second)
                for (id in flowUsers.nextAttempt.filterValues { it <= second }.keys.toList()) {
                    if (second - flowUsers.firstAttempt.getValue(id) > 60) {
                        flowUsers.nextAttempt.remove(id)
                        flowUsers.gaveUpCount++
                        continue
                    }
                    val meter = meters[flowUsers.controllerAt(second)]
                    meter.recordOffered(flowUsers.flow, id, now)
                    when (val decision = plan.decide(flowUsers.flow, id)) {
                        is AdmissionDecision.Deferred -> flowUsers.nextAttempt[id] = second + decision.retryAfterSeconds
                        AdmissionDecision.Admitted -> {
                            meter.recordAccepted(id, now)
                            flowUsers.nextAttempt.remove(id)
                            flowUsers.waitSeconds += second - flowUsers.firstAttempt.getValue(id)
                            openJobs.merge(flowUsers.flow, 1, Int::plus)
                            acceptedCount++
                        }
                    }
                }
            }
            acceptedCount
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [35])
    fun `a flood of jobs is limited to the share of its team whichever controllers it reaches, and no other flow is deferred`(seed: Int) {
        val random = Random(seed)
        for (floodController in listOf<(Int) -> Int>({ 0 }, { random.nextInt(3) })) {
            val flood = Users(Flow("north", "tiny"), { if (it in 20..140) 60.0 else 0.5 }, floodController)
            val intake = Users(Flow("intake", "match"), { 2.0 }) { random.nextInt(3) }
            val pulls = Users(Flow("south", "pull"), { 0.5 }) { random.nextInt(3) }
            val acceptedBySecond = run(240, capacity = 10.0, listOf(flood, intake, pulls))
            assertEquals(listOf(0, 0), listOf(intake.waitSeconds.max(), pulls.waitSeconds.max()))
            val steady = acceptedBySecond.subList(40, 140).average()
            assertTrue(steady in 6.0..14.0, "$steady jobs per second are accepted at a capacity of 10")
            assertTrue(flood.waitSeconds.max() <= 62, "no job is accepted after its user has stopped retrying")
            assertTrue(flood.nextAttempt.size < 20, "${flood.nextAttempt.size} jobs are not accepted 100 s after the flood")
            println("accepted $steady/s, flood: ${flood.waitSeconds.size} accepted, ${flood.gaveUpCount} gave up")
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [36])
    fun `all jobs of a short burst are accepted before their users give up`(seed: Int) {
        val random = Random(seed)
        val burst = Users(Flow("north", "tiny"), { if (it in 20..24) 60.0 else 0.1 }) { random.nextInt(3) }
        val other = Users(Flow("south", "pull"), { 1.0 }) { random.nextInt(3) }
        run(150, capacity = 10.0, listOf(burst, other))
        assertEquals(0, burst.gaveUpCount)
        assertEquals(0, burst.nextAttempt.size)
        assertEquals(0, other.waitSeconds.max())
    }

    @ParameterizedTest
    @ValueSource(ints = [37])
    fun `above the maximum number of open jobs, the team with most of them is limited to the minimum rate`(seed: Int) {
        val random = Random(seed)
        val fewOpenJobs = AdmissionSettings(maxOpenJobs = 300)
        val flood = Users(Flow("north", "tiny"), { 8.0 }) { random.nextInt(3) }
        val other = Users(Flow("south", "pull"), { 0.4 }) { random.nextInt(3) }
        val acceptedBySecond = run(300, capacity = 50.0, listOf(flood, other), fewOpenJobs)
        assertEquals(0, other.waitSeconds.max())
        assertTrue(acceptedBySecond.takeLast(60).average() < 2.0, "${acceptedBySecond.takeLast(60).average()} jobs per second are accepted")
        assertTrue(acceptedBySecond.takeLast(60).sum() > 30, "the flow is admitted at the minimum rate")
    }

    private fun job(number: Int, team: String, jobClass: String): Job {
        val spec = testSpec("req-%06d".format(number), "crew" to team, "lane" to jobClass)
        return Job(JobRecord(spec, number.toLong(), activated = true, cancelled = false), 1, false)
    }

    @Test
    fun `a waiting job starts after a few jobs of each other flow, however many jobs the other flows have`() {
        val classes = listOf("match", "pull")
        val roundRobin = FlowRoundRobin(FlowClassifier(classes.map { Objective.Wait(it, 1) }))
        val flood = List(3_000) { job(it, "north", "match") }
        val others = listOf(job(5_000, "north", "pull"), job(5_001, "south", "match"), job(5_002, "south", "unknown"))
        var waiting = flood + others
        val served = ArrayList<Job>()
        repeat(30) {
            val next = roundRobin.selectNext(waiting).first()
            roundRobin.recordStarted(next)
            served += next
            waiting = waiting - next
        }
        assertTrue(served.take(4).containsAll(others), served.take(4).map { it.id }.toString())
        assertEquals(flood.take(27), served - others.toSet(), "the jobs of a flow keep their order")
        assertTrue(roundRobin.selectNext(waiting).size <= FlowRoundRobin.JOBS_PER_FLOW)
    }
}

package linemast.admission

import linemast.serialization.Cbor
import linemast.serialization.Fields
import linemast.serialization.MalformedException
import linemast.settings.AdmissionSettings
import linemast.settings.Toml
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.nio.file.Path
import kotlin.random.Random

/**
 * Guards against deferred jobs that are never admitted: a deferred job must be admitted after the retry time that it was given, and must
 * stay admitted for the dwell time. Also covers the stored forms of plans and reports, and the settings file.
 */
class AdmissionPlanTest {
    private val flow = Flow("north", "tiny")

    private fun range(random: Random): HashRange {
        val rate = random.nextLong(1L shl 20, HashRing.SIZE / 20)
        return HashRange(random.nextLong(HashRing.SIZE), rate * 12, rate)
    }

    @ParameterizedTest
    @ValueSource(ints = [32])
    fun `a deferred submission is admitted at the announced retry time, and every id is admitted within a round`(seed: Int) {
        val random = Random(seed)
        repeat(400) { number ->
            var plan = AdmissionPlan(1, 1, mapOf(flow to range(random)))
            val roundSeconds = HashRing.SIZE / plan.ranges.getValue(flow).rate + 1
            val id = "req-%06d".format(number)
            var waitedSeconds = 0L
            while (true) {
                val decision = plan.decide(flow, id)
                if (decision !is AdmissionDecision.Deferred) break
                waitedSeconds += decision.retryAfterSeconds
                val next = plan.ranges.getValue(flow).advancedBy(decision.retryAfterSeconds * 1_000_000L)
                plan = AdmissionPlan(plan.epoch + 1, 1, mapOf(flow to next))
                if (decision.retryAfterSeconds <
                    30
                ) {
                    assertEquals(AdmissionDecision.Admitted, plan.decide(flow, id), "admitted after ${decision.retryAfterSeconds} s")
                }
            }
            assertTrue(waitedSeconds <= roundSeconds + 1, "admitted after $waitedSeconds s, a round takes $roundSeconds s")
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [33])
    fun `an id that the range has reached stays admitted for the dwell time`(seed: Int) {
        val random = Random(seed)
        repeat(200) { number ->
            val range = range(random)
            val id = "req-%06d".format(number)
            val reached = range.advancedBy(HashRing.distance(range.position, HashRing.positionOf(id)) * 1_000_000 / range.rate + 1_000_000)
            for (seconds in 0L..10L) {
                val plan = AdmissionPlan(1, 1, mapOf(flow to reached.advancedBy(seconds * 1_000_000)))
                assertEquals(AdmissionDecision.Admitted, plan.decide(flow, id), "admitted $seconds s after the range has reached the id")
            }
        }
    }

    @Test
    fun `consecutive ids are spread evenly over the hash ring`() {
        val quarters = (0 until 10_000).groupingBy { HashRing.positionOf("req-%06d".format(it)) * 4 / HashRing.SIZE }.eachCount()
        assertTrue(quarters.size == 4 && quarters.values.all { it in 2_300..2_700 }, "$quarters")
    }

    @ParameterizedTest
    @ValueSource(ints = [34])
    fun `stored plans and reports are decoded unchanged, and malformed plans are rejected`(seed: Int) {
        val random = Random(seed)
        repeat(200) {
            val flows = List(random.nextInt(5)) { Flow("team-$it", "class-${random.nextInt(3)}") }
            val plan = AdmissionPlan(random.nextLong(1L shl 40), random.nextLong(1L shl 40), flows.associateWith { range(random) })
            val stored = AdmissionCodec.encode(plan)
            assertEquals(plan, AdmissionCodec.decodePlan(Cbor.decodeMap(Cbor.encode(stored))))
            for (field in listOf("epoch", "helm")) {
                assertThrows(MalformedException::class.java) { AdmissionCodec.decodePlan(Fields(stored - field)) }
            }
            val demands = flows.associateWith { FlowDemand(random.nextDouble(9.0), random.nextInt(9).toDouble(), random.nextInt(99)) }
            val read = AdmissionCodec.decodeDemand(Cbor.decodeMap(Cbor.encode(AdmissionCodec.encode(DemandReport("mast-1", demands)))))
            assertEquals("mast-1" to demands, read.nodeName to read.demands)
        }
        val malformed = mapOf("crew" to "north", "lane" to "x", "head" to HashRing.SIZE, "width" to 1L, "pace" to 1L)
        for (range in listOf(malformed, malformed + ("head" to 0L) + ("pace" to 0L), malformed + ("head" to 0L) + ("width" to -1L))) {
            val stored = mapOf("epoch" to 1L, "helm" to 1L, "flows" to listOf(range))
            assertThrows(MalformedException::class.java) { AdmissionCodec.decodePlan(Fields(stored)) }
        }
    }

    @Test
    fun `invalid settings are rejected, and the file in deploy has the default values`() {
        val shipped = AdmissionSettings.read(Path.of("deploy/admission.toml"))
        val default = AdmissionSettings()
        assertEquals(
            listOf(default.epochMicros, default.dwellMicros, default.maxOpenJobs),
            shipped.let {
                listOf(it.epochMicros, it.dwellMicros, it.maxOpenJobs)
            },
        )
        assertEquals(default.intakeShare, shipped.intakeShare)
        for (invalid in listOf("epoch_s = 0.5", "dwell_s = 61", "intake_share = 0", "most_open_jobs = 99", "flows = 1")) {
            assertThrows(MalformedException::class.java, { AdmissionSettings.from(Toml.parse(invalid)) }, invalid)
        }
    }
}

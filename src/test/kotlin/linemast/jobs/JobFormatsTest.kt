package linemast.jobs

import linemast.domain.JobRecord
import linemast.serialization.Cbor
import linemast.serialization.Fields
import linemast.serialization.MalformedException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import kotlin.random.Random

/** Guards against job records that change when they are stored and read, and against malformed submissions that are accepted. */
class JobFormatsTest {
    private val seed = 99

    @Test
    fun `generated jobs are equal after encoding and decoding`() {
        println("seed $seed")
        val random = Random(seed)
        repeat(300) {
            val record = JobRecord(
                JobSpecCodec.decode(Fields(randomJob(random))),
                random.nextLong(1L shl 50),
                random.nextBoolean(),
                random.nextBoolean(),
            )
            val decoded = JobRecordCodec.decode(Cbor.decodeMap(Cbor.encode(JobRecordCodec.encode(record))))
            assertEquals(JobRecordCodec.encode(record), JobRecordCodec.encode(decoded))
        }
    }

    @Test
    fun `a submission with one malformed field is rejected`() {
        val random = Random(seed)
        val malformed = listOf<Pair<String, Any?>>(
            "name_id" to "req-x", "name_id" to "../req-1", "name_id" to null, "shape" to "ring", "urgency" to "soon", "pieces" to 0,
            "pieces" to 100_001, "pieces" to 1.5, "vcpus" to -1.0, "vcpus" to "8", "vcpus" to Double.NaN, "memory_gb" to null,
            "lane" to "", "crew" to 7, "same_place" to "yes", "builds" to emptyList<String>(), "builds" to listOf(1),
            "guess_s" to Double.POSITIVE_INFINITY, "due_s" to -1.0, "mark_s" to null, "loaners" to 1,
        )
        for ((field, value) in malformed) {
            assertThrows(
                MalformedException::class.java,
                { JobSpecCodec.decode(Fields(randomJob(random) + (field to value))) },
                "$field = $value",
            )
        }
    }

    @Test
    fun `sets of completed tasks are equal after encoding and decoding, and each part is below the lowest value limit`() {
        val random = Random(seed)
        for (taskCount in listOf(1, 63, 8_192, 8_193, 100_000)) {
            val done = BitSet()
            repeat(taskCount / 2 + 1) { done.set(random.nextInt(taskCount)) }
            val decoded = BitSet()
            for (part in 0 until CompletedTaskParts.count(taskCount)) {
                val stored = CompletedTasksCodec.encode(done, part)
                val text = stored.getValue("bits") as String
                assertTrue(text.length < 4_096, "part of ${text.length} characters")
                CompletedTasksCodec.decode(Fields(stored), part, decoded)
            }
            assertEquals(done, decoded)
        }
        assertThrows(MalformedException::class.java) { CompletedTasksCodec.decode(Fields(mapOf("bits" to "*")), 0, BitSet()) }
    }

    private fun randomJob(random: Random): Map<String, Any?> = mapOf(
        "name_id" to "req-%06d".format(random.nextInt(1_000_000)),
        "lane" to "lane-${random.nextInt(5)}",
        "crew" to "crew",
        "shape" to listOf("sweep", "gang", "standing").random(random),
        "urgency" to listOf("critical", "high", "normal", "idle").random(random),
        "pieces" to random.nextInt(1, 100_001),
        "vcpus" to random.nextInt(1, 64).toDouble(),
        "gpus" to random.nextInt(8).toDouble(),
        "memory_gb" to random.nextInt(512).toDouble(),
        "bundle" to "img-${random.nextInt(9)}",
        "pull_gb" to random.nextInt(90) / 10.0,
        "builds" to if (random.nextBoolean()) null else listOf("a", "b"),
        "yard" to if (random.nextBoolean()) null else "zone",
        "same_place" to random.nextBoolean(),
        "apart" to random.nextBoolean(),
        "loaners" to random.nextBoolean(),
        "guess_s" to random.nextInt(1, 1000).toDouble(),
        "mark_every_s" to random.nextInt(60).toDouble(),
        "mark_s" to random.nextInt(9).toDouble(),
        "due_s" to if (random.nextBoolean()) null else random.nextInt(1, 1000).toDouble(),
        "some_new_field" to random.nextInt(),
    )
}

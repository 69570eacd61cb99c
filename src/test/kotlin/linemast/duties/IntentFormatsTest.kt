package linemast.duties

import linemast.cloud.ScaleOutRequest
import linemast.serialization.Cbor
import linemast.serialization.Fields
import linemast.serialization.MalformedException
import linemast.settings.Duty
import linemast.settings.DutySettings
import linemast.settings.SettingsException
import linemast.settings.Toml
import linemast.store.Entry
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random

internal fun generatedIntent(random: Random, token: Long = random.nextLong(1, 1_000), number: Long = random.nextLong(1, 9_999)): Intent {
    val action = if (random.nextBoolean()) {
        val request = ScaleOutRequest("r-$token-$number", "type-${random.nextInt(9)}", "zone", random.nextBoolean(), random.nextInt(1, 51))
        CloudAction.ScaleOut(request)
    } else {
        val duty = listOf(Duty.SCALE_IN, Duty.RECLAIM, Duty.CLEAN_UP).random(random)
        CloudAction.ScaleIn(List(random.nextInt(1, 101)) { "host-%06d".format(random.nextInt(1_000_000)) }, duty)
    }
    val open = Intent(IntentId(token, number), action, random.nextLong(1L shl 50))
    return if (random.nextBoolean()) open else open.closed(IntentState.entries.drop(1).random(random), random.nextInt(101), token)
}

/** Guards against stored intents and settings files that are decoded wrongly, or accepted although they are malformed. */
class IntentFormatsTest {
    @Test
    fun `an encoded intent decodes to an equal intent`() {
        val random = Random(27)
        repeat(500) {
            val intent = generatedIntent(random)
            assertEquals(intent, IntentCodec.decode(Cbor.decodeMap(Cbor.encode(IntentCodec.encode(intent)))))
        }
    }

    @Test
    fun `a stored intent with a missing field or a field of another type is rejected`() {
        val random = Random(28)
        repeat(200) {
            val stored = IntentCodec.encode(generatedIntent(random))
            for (field in stored.keys - setOf("closed_by")) {
                assertThrows(MalformedException::class.java) { IntentCodec.decode(Fields(stored - field)) }
                assertThrows(MalformedException::class.java) { IntentCodec.decode(Fields(stored + (field to listOf(1L)))) }
            }
        }
    }

    @Test
    fun `only the canonical key of a slot is recognized`() {
        assertEquals(17, IntentCodec.slot(IntentCodec.key(17)))
        for (key in listOf("duty/", "duty/x", "duty/-1", "duty/017", "duty/1/2", "other/1")) assertNull(IntentCodec.slot(key), key)
    }

    @Test
    fun `a slot with unreadable content is never used`() {
        val log = IntentLog.empty(slotCount = 2).reload(listOf(Entry("duty/0", Fields(mapOf("state" to "odd")), 7)))
        assertEquals(setOf(0), log.unreadable)
        assertEquals(1, log.findFreeSlot())
        assertNull(log.reserve(1).findFreeSlot())
    }

    @Test
    fun `invalid settings are rejected, and the file in the deploy directory is valid`() {
        val shipped = DutySettings.read(Path.of("deploy/duties.toml"))
        assertEquals(
            listOf(128, 30_000_000L, emptySet<Duty>()),
            listOf(shipped.slots, shipped.scaleOutRetryTimeoutMicros, shipped.suspended),
        )
        assertEquals(setOf(Duty.SCALE_OUT, Duty.CLEAN_UP), read("suspended = [\"rent\", \"clean-up\"]").suspended)
        for (wrong in listOf(
            "slots = 15",
            "slots = 1001",
            "adopt_within_s = 0.5",
            "suspended = [\"sell\"]",
            "slot = 20",
            "slots = \"x\"",
        )) {
            assertThrows(MalformedException::class.java, { read(wrong) }, wrong)
        }
        val file = Files.createTempFile("duties", ".toml")
        Files.writeString(file, "[duty]\n")
        val error = assertThrows(SettingsException::class.java) { DutySettings.read(file) }
        assertTrue("duty: is not a setting" in error.message!!, error.message)
        Files.delete(file)
    }

    private fun read(text: String) = DutySettings.from(Toml.parse(text))
}

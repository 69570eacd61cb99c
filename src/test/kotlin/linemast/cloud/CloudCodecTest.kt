package linemast.cloud

import linemast.serialization.Fields
import linemast.serialization.MalformedException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The names of the cloud's protocol, and the fields that its responses may omit. */
class CloudCodecTest {
    private val machine = mapOf(
        "name_id" to "host-000001",
        "addr" to "10.0.0.1:7000",
        "build" to "small",
        "yard" to "a",
        "loaners" to true,
        "status" to "running",
        "age_s" to 2.5,
    )

    @Test
    fun `a scale-out request is encoded with the protocol's names`() {
        val expected = mapOf("charter" to "r-7-1", "build" to "small", "yard" to "a", "loaners" to true, "number" to 3)
        assertEquals(expected, CloudCodec.encodeScaleOut(ScaleOutRequest("r-7-1", "small", "a", spot = true, machineCount = 3)))
    }

    @Test
    fun `a scale-in request is encoded with the protocol's names`() {
        assertEquals(mapOf("rigs" to listOf("host-000001")), CloudCodec.encodeScaleIn(listOf("host-000001")))
    }

    @Test
    fun `each further page of the machine list begins after the last name of the previous page`() {
        assertEquals("/machines?limit=500", CloudCodec.machinePagePath(null))
        assertEquals("/machines?limit=500&after=host-000001", CloudCodec.machinePagePath("host-000001"))
    }

    @Test
    fun `a listed machine is decoded with all its fields`() {
        val page = CloudCodec.decodeMachinePage(Fields(mapOf("rigs" to listOf(machine), "truncated" to true)))
        assertTrue(page.truncated)
        val listed = page.machines.single()
        assertEquals(
            listOf("host-000001", "10.0.0.1:7000", "small", "a"),
            listOf(listed.name, listed.address, listed.machineType, listed.zone),
        )
        assertEquals(listOf(true, "running", 2_500_000L), listOf(listed.spot, listed.status, listed.ageMicros))
    }

    @Test
    fun `an absent optional field is decoded as its default`() {
        val page = CloudCodec.decodeMachinePage(Fields(mapOf("rigs" to listOf(machine - setOf("addr", "loaners", "age_s")))))
        assertFalse(page.truncated)
        val listed = page.machines.single()
        assertEquals(listOf("", false, 0L), listOf(listed.address, listed.spot, listed.ageMicros))
    }

    @Test
    fun `a listed machine without a required field is malformed`() {
        for (field in listOf("name_id", "build", "yard", "status")) {
            val fields = Fields(mapOf("rigs" to listOf(machine - field)))
            assertThrows(MalformedException::class.java, { CloudCodec.decodeMachinePage(fields) }, field)
        }
    }

    @Test
    fun `only the protocol's error text means that there is no capacity`() {
        assertTrue(CloudCodec.isNoCapacity(Fields(mapOf("error" to "no capacity"))))
        assertFalse(CloudCodec.isNoCapacity(Fields(mapOf("error" to "trouble"))))
        assertFalse(CloudCodec.isNoCapacity(Fields(emptyMap())))
    }
}

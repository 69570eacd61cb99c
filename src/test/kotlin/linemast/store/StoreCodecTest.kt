package linemast.store

import linemast.serialization.Cbor
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

/** Guards against encodings that the key-value store of the protocol does not understand. */
class StoreCodecTest {
    private val value = mapOf("n" to 3L)

    @Test
    fun `a transaction is encoded with the names of the protocol`() {
        val body = StoreCodec.encodeTransaction(
            listOf(Precondition("leader", 7), Precondition("absent", Precondition.ABSENT)),
            listOf(Write.Put("leader", value, lease = 9), Write.Put("helm", value), Write.Delete("old")),
        )
        val expected = mapOf(
            "when" to listOf(mapOf("k" to "leader", "stamp" to 7L), mapOf("k" to "absent", "stamp" to 0L)),
            "writes" to listOf(
                mapOf("put" to "leader", "v" to value, "hold" to 9L),
                mapOf("put" to "helm", "v" to value, "hold" to null),
                mapOf("drop" to "old"),
            ),
        )
        assertEquals(Cbor.encode(expected).toList(), body.toList())
    }

    @Test
    fun `paths have the names of the protocol`() {
        assertEquals("/keys/leader", StoreCodec.entryPath("leader"))
        assertEquals("/keys?under=jobs/&limit=500", StoreCodec.listPath("jobs/", null))
        assertEquals("/keys?under=jobs/&after=jobs/a&limit=500", StoreCodec.listPath("jobs/", "jobs/a"))
        assertEquals("/follow?under=jobs/&after=4&wait_ms=1500", StoreCodec.watchPath("jobs/", 4, 1_500_999))
        assertEquals("/holds/9/renew", StoreCodec.leaseRenewalPath(9))
        assertEquals("/holds/9", StoreCodec.leasePath(9))
    }

    @Test
    fun `puts and deletes in the response to a watch are decoded as changes`() {
        val news = listOf(mapOf("put" to "a", "v" to value, "stamp" to 5), mapOf("drop" to "b", "stamp" to 6))
        val result = StoreCodec.decodeChanges(Cbor.decodeMap(Cbor.encode(mapOf("era" to 6, "news" to news))))
        assertEquals(6, result.revision)
        assertEquals(listOf("a" to 5L, "b" to 6L), result.changes.map { it.key to it.revision })
        assertEquals(value, result.changes.first().value?.map)
        assertNull(result.changes.last().value)
    }
}

package linemast.leadership

import linemast.serialization.Fields
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class LeaderRecordCodecTest {
    @Test
    fun `the record keeps the names and order of the fields that earlier versions store`() {
        val stored = LeaderRecordCodec.encode(LeaderRecord("mast-1", 7))
        assertEquals(listOf("node" to "mast-1", "helm" to 7L), stored.toList())
        assertEquals(LeaderRecord("mast-1", 7), LeaderRecordCodec.decode(Fields(stored)))
        assertEquals(mapOf("n" to 7L), LeaderRecordCodec.encodeFencingToken(7))
    }

    @Test
    fun `a record without a field names no leader and no token`() {
        assertEquals(LeaderRecord(null, 0), LeaderRecordCodec.decode(Fields(emptyMap())))
    }
}

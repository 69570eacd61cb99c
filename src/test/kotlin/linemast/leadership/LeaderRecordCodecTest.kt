package linemast.leadership

import linemast.serialization.Fields
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against leader records that controllers of another version cannot read. */
class LeaderRecordCodecTest {
    @Test
    fun `the stored records have the field names and field order of earlier versions`() {
        val stored = LeaderRecordCodec.encode(LeaderRecord("mast-1", 7))
        assertEquals(listOf("node" to "mast-1", "helm" to 7L), stored.toList())
        assertEquals(LeaderRecord("mast-1", 7), LeaderRecordCodec.decode(Fields(stored)))
        assertEquals(mapOf("n" to 7L), LeaderRecordCodec.encodeFencingToken(7))
    }

    @Test
    fun `a record without fields decodes to no leader name and token 0`() {
        assertEquals(LeaderRecord(null, 0), LeaderRecordCodec.decode(Fields(emptyMap())))
    }
}

package linemast.peers

import linemast.serialization.MalformedException
import okio.Buffer
import okio.ByteString.Companion.decodeHex
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against messages about cancellations that another version cannot decode, and against malformed ones being accepted. */
class PeerMessageCodecTest {
    @Test
    fun `messages about cancellations keep the same bytes`() {
        val messages = mapOf(
            CancellationNotice("mast-1", "req-000001") to "020100066d6173742d31000a7265712d303030303031",
            CancellationAcknowledgement("mast-1", "req-000001") to "020200066d6173742d31000a7265712d303030303031",
        )
        for ((message, bytes) in messages) {
            assertEquals(bytes, PeerMessageCodec.encode(message).readByteString().hex())
            assertEquals(message, PeerMessageCodec.decode(Buffer().write(bytes.decodeHex())))
        }
    }

    /** Earlier versions ignore the flag, and close the connection on any other change of a status. */
    @Test
    fun `a status tells in a flag that its sender acknowledges cancellations`() {
        val status = PeerStatus("mast-1", 7, false, false, false, emptyMap(), acknowledgesCancellations = true)
        val bytes = "0100066d6173742d310000000000000007080000"
        assertEquals(bytes, PeerMessageCodec.encode(status).readByteString().hex())
        val decoded = PeerMessageCodec.decode(Buffer().write(bytes.decodeHex())) as PeerStatus
        assertTrue(decoded.acknowledgesCancellations)
    }

    @Test
    fun `truncated, lengthened and unknown messages are rejected`() {
        val bytes = PeerMessageCodec.encode(CancellationNotice("mast-1", "req-000001")).readByteArray()
        for (length in bytes.indices) {
            assertThrows(MalformedException::class.java) { PeerMessageCodec.decode(Buffer().write(bytes, 0, length)) }
        }
        assertThrows(MalformedException::class.java) { PeerMessageCodec.decode(Buffer().write(bytes).writeByte(0)) }
        for (unknownStart in listOf("0203", "0301")) {
            val unknown = Buffer().write(unknownStart.decodeHex()).write(bytes, 2, bytes.size - 2)
            assertThrows(MalformedException::class.java) { PeerMessageCodec.decode(unknown) }
        }
    }
}

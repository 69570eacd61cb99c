package linemast.peers

import linemast.domain.JobProgress
import linemast.serialization.MalformedException
import okio.Buffer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/** Guards against a truncated or lengthened status being accepted with wrong content. */
class PeerStatusCodecTest {
    @ParameterizedTest
    @ValueSource(ints = [SEED])
    fun `generated statuses are decoded unchanged, and truncated or lengthened ones are rejected`(seed: Int) {
        val random = Random(seed)
        repeat(50) {
            val progress = (0 until random.nextInt(30)).associate { "req-$it" to JobProgress(random.nextInt(100), random.nextInt(100)) }
            val bytes = PeerStatusCodec.encode(
                PeerStatus(
                    nodeName = "mast-1",
                    fencingToken = random.nextLong(1000),
                    isLeader = random.nextBoolean(),
                    reachesStore = random.nextBoolean(),
                    receivesHeartbeats = random.nextBoolean(),
                    progress = progress,
                ),
            ).readByteArray()
            val decoded = PeerStatusCodec.decode(Buffer().write(bytes))
            assertEquals(counts(progress), counts(decoded.progress))
            for (length in bytes.indices) {
                assertThrows(MalformedException::class.java) { PeerStatusCodec.decode(Buffer().write(bytes, 0, length)) }
            }
            assertThrows(MalformedException::class.java) { PeerStatusCodec.decode(Buffer().write(bytes).writeByte(0)) }
        }
    }

    private fun counts(progress: Map<String, JobProgress>) = progress.mapValues { it.value.completed to it.value.running }

    private companion object {
        const val SEED = 99
    }
}

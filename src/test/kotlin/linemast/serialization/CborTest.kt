package linemast.serialization

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/**
 * Guards against values that encoding changes, and against malformed bytes that are accepted, exhaust memory or the stack, or cause
 * any exception other than a [MalformedException]. The bytes are encoded from generated maps, then truncated or altered.
 */
class CborTest {
    @ParameterizedTest
    @ValueSource(ints = [SEED])
    fun `generated maps are equal after encoding and decoding`(seed: Int) {
        val random = Random(seed)
        repeat(500) {
            val map = randomMap(random, 4)
            assertEquals(map, Cbor.decodeMap(Cbor.encode(map)).map)
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [SEED])
    fun `every truncation is rejected and a flipped bit is rejected or decoded as some map`(seed: Int) {
        val random = Random(seed)
        repeat(60) {
            val bytes = Cbor.encode(randomMap(random, 3))
            for (length in bytes.indices) {
                assertThrows(MalformedException::class.java) { Cbor.decodeMap(bytes.copyOf(length)) }
            }
            repeat(40) {
                val flipped = bytes.copyOf()
                val at = random.nextInt(bytes.size)
                flipped[at] = (flipped[at].toInt() xor (1 shl random.nextInt(8))).toByte()
                try {
                    Cbor.decodeMap(flipped)
                } catch (e: MalformedException) {
                    assertEquals(false, e.message.isNullOrEmpty())
                }
            }
        }
    }

    @Test
    fun `deep nesting, a list as body, byte strings, too large integers and too long texts are rejected`() {
        var deep: Any? = 1
        repeat(60) { deep = listOf(deep) }
        assertThrows(MalformedException::class.java) { Cbor.decodeMap(Cbor.encode(mapOf("a" to deep))) }
        assertThrows(MalformedException::class.java) { Cbor.decodeMap(Cbor.encode(listOf(1))) }
        // {"a": h'01'} and {"a": 2^64 - 1}
        assertThrows(MalformedException::class.java) { Cbor.decodeMap(bytesOf(0xa1, 0x61, 0x61, 0x41, 0x01)) }
        assertThrows(MalformedException::class.java) {
            Cbor.decodeMap(bytesOf(0xa1, 0x61, 0x61, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff))
        }
        // A text whose length field announces two gigabytes.
        assertThrows(MalformedException::class.java) { Cbor.decodeMap(bytesOf(0xa1, 0x61, 0x61, 0x7a, 0x7f, 0xff, 0xff, 0xff)) }
    }

    private fun bytesOf(vararg values: Int) = ByteArray(values.size) { values[it].toByte() }

    private fun randomMap(random: Random, depth: Int): Map<String, Any?> =
        (0 until random.nextInt(5)).associate { randomText(random) to randomValue(random, depth) }

    private fun randomValue(random: Random, depth: Int): Any? = when (random.nextInt(if (depth > 0) 8 else 6)) {
        0 -> null
        1 -> random.nextLong()
        2 -> random.nextInt(100).toLong()
        3 -> random.nextDouble()
        4 -> random.nextBoolean()
        5 -> randomText(random)
        6 -> List(random.nextInt(4)) { randomValue(random, depth - 1) }
        else -> randomMap(random, depth - 1)
    }

    private fun randomText(random: Random) = String(CharArray(random.nextInt(12)) { random.nextInt(0x20, 0x17f).toChar() })

    private companion object {
        const val SEED = 4711
    }
}

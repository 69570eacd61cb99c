package linemast.serialization

import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.core.StreamReadConstraints
import com.fasterxml.jackson.dataformat.cbor.CBORFactory
import java.io.ByteArrayOutputStream
import java.io.IOException

/** Encodes and decodes [ValueTree]s as CBOR, the format of the message bodies of all interfaces. */
object Cbor {
    private const val MAX_DEPTH = 24
    private const val INITIAL_BYTES = 256

    private val factory: CBORFactory = CBORFactory.builder()
        .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
        .build()

    /** Encodes a tree of maps, lists, texts, numbers, booleans and null. */
    fun encode(value: Any?): ByteArray {
        val out = ByteArrayOutputStream(INITIAL_BYTES)
        factory.createGenerator(out).use { ValueTree.write(it, value) }
        return out.toByteArray()
    }

    /** Decodes a body, which must be a single map; throws a [MalformedException] otherwise. */
    fun decodeMap(bytes: ByteArray): Fields {
        try {
            factory.createParser(bytes).use { parser ->
                if (parser.nextToken() != JsonToken.START_OBJECT) throw MalformedException("body: must be a map")
                val map = ValueTree.readMap(parser)
                if (parser.nextToken() != null) throw MalformedException("body: has bytes after the map")
                return Fields(map)
            }
        } catch (e: IOException) {
            throw MalformedException("body: ${e.message?.lineSequence()?.first()}")
        }
    }
}

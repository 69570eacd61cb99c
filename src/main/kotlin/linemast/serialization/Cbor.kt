package linemast.serialization

import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.core.StreamReadConstraints
import com.fasterxml.jackson.dataformat.cbor.CBORFactory
import java.io.ByteArrayOutputStream
import java.io.IOException

/** The CBOR form of [ValueTree]s, in which the bodies of every interface travel. */
object Cbor {
    private const val MAX_DEPTH = 24
    private const val INITIAL_BYTES = 256

    private val factory: CBORFactory = CBORFactory.builder()
        .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
        .build()

    /** The bytes of a tree of maps, lists, texts, numbers, booleans and null. */
    fun encode(value: Any?): ByteArray {
        val out = ByteArrayOutputStream(INITIAL_BYTES)
        factory.createGenerator(out).use { ValueTree.write(it, value) }
        return out.toByteArray()
    }

    /** Reads a body, which has to be one map; throws [MalformedException] otherwise. */
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

package linemast.serialization

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.core.StreamReadConstraints
import com.fasterxml.jackson.dataformat.cbor.CBORFactory
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.OutputStream

/**
 * Bodies of every interface: CBOR maps, lists, text, numbers, booleans and null.
 *
 * Values pass through plain maps and lists by streaming, without data binding.
 */
object Cbor {
    private const val MAX_DEPTH = 24
    private const val INITIAL_BYTES = 256

    private val factory: CBORFactory = CBORFactory.builder()
        .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
        .build()

    private val json = JsonFactory()

    /** The CBOR form of maps, lists, texts, numbers, booleans and null. */
    fun encode(value: Any?): ByteArray {
        val out = ByteArrayOutputStream(INITIAL_BYTES)
        factory.createGenerator(out).use { write(it, value) }
        return out.toByteArray()
    }

    /** Reads a body, which has to be one map; throws [MalformedException] otherwise. */
    fun decodeMap(bytes: ByteArray): Fields {
        try {
            factory.createParser(bytes).use { parser ->
                if (parser.nextToken() != JsonToken.START_OBJECT) throw MalformedException("body: must be a map")
                val map = readMap(parser)
                if (parser.nextToken() != null) throw MalformedException("body: has bytes after the map")
                return Fields(map)
            }
        } catch (e: IOException) {
            throw MalformedException("body: ${e.message?.lineSequence()?.first()}")
        }
    }

    /** Reads the value that starts at the parser's current token; shared with the reader of settings. */
    fun readValue(parser: JsonParser): Any? = when (parser.currentToken()) {
        JsonToken.START_OBJECT -> readMap(parser)
        JsonToken.START_ARRAY -> buildList {
            while (next(parser) != JsonToken.END_ARRAY) add(readValue(parser))
        }
        JsonToken.VALUE_STRING -> parser.text
        JsonToken.VALUE_NUMBER_INT -> if (parser.numberType == JsonParser.NumberType.BIG_INTEGER) {
            throw MalformedException("an integer is too large")
        } else {
            parser.longValue
        }
        JsonToken.VALUE_NUMBER_FLOAT -> parser.doubleValue
        JsonToken.VALUE_TRUE -> true
        JsonToken.VALUE_FALSE -> false
        JsonToken.VALUE_NULL -> null
        else -> throw MalformedException("unexpected ${parser.currentToken()}")
    }

    /** Reads the map that starts at the parser's current token. */
    fun readMap(parser: JsonParser): Map<String, Any?> {
        val map = LinkedHashMap<String, Any?>()
        while (next(parser) != JsonToken.END_OBJECT) {
            val name = parser.currentName() ?: throw MalformedException("a key is not text")
            next(parser)
            map[name] = readValue(parser)
        }
        return map
    }

    private fun next(parser: JsonParser): JsonToken = parser.nextToken() ?: throw MalformedException("body: ends too early")

    /** How many bytes [value] takes in the JSON form, in which the limits of the protocol are counted. */
    fun jsonSize(value: Any?): Int {
        val out = CountingStream()
        json.createGenerator(out).use { write(it, value) }
        return out.count
    }

    private class CountingStream : OutputStream() {
        var count = 0
            private set

        override fun write(byte: Int) {
            count++
        }

        override fun write(bytes: ByteArray, offset: Int, length: Int) {
            count += length
        }
    }

    private fun write(out: JsonGenerator, value: Any?) {
        when (value) {
            null -> out.writeNull()
            is String -> out.writeString(value)
            is Int -> out.writeNumber(value)
            is Long -> out.writeNumber(value)
            is Double -> out.writeNumber(value)
            is Boolean -> out.writeBoolean(value)
            is Map<*, *> -> {
                out.writeStartObject(value, value.size)
                for ((name, item) in value) {
                    out.writeFieldName(name as String)
                    write(out, item)
                }
                out.writeEndObject()
            }
            is List<*> -> {
                out.writeStartArray(value, value.size)
                for (item in value) write(out, item)
                out.writeEndArray()
            }
            else -> error("no wire form for ${value.javaClass}")
        }
    }
}

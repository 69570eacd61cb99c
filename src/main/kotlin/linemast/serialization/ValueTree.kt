package linemast.serialization

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import java.math.BigInteger

/**
 * Reads and writes trees of plain values: maps with text keys, lists, texts, numbers, booleans and null.
 *
 * Values are streamed, without data binding; the parser or generator determines the format. An integer is a Long, or a [BigInteger] if it
 * exceeds 64 bits with the sign: such an integer is valid, also in fields that nobody reads.
 */
object ValueTree {
    /** Reads the value that starts at the parser's current token; throws a [MalformedException] for any other kind of value. */
    fun read(parser: JsonParser): Any? = when (parser.currentToken()) {
        JsonToken.START_OBJECT -> readMap(parser)
        JsonToken.START_ARRAY -> buildList {
            while (nextToken(parser) != JsonToken.END_ARRAY) add(read(parser))
        }
        JsonToken.VALUE_STRING -> parser.text
        JsonToken.VALUE_NUMBER_INT -> readInteger(parser)
        JsonToken.VALUE_NUMBER_FLOAT -> parser.doubleValue
        JsonToken.VALUE_TRUE -> true
        JsonToken.VALUE_FALSE -> false
        JsonToken.VALUE_NULL -> null
        else -> throw MalformedException("unexpected token ${parser.currentToken()}")
    }

    private fun readInteger(parser: JsonParser): Number =
        if (parser.numberType == JsonParser.NumberType.BIG_INTEGER) parser.bigIntegerValue else parser.longValue

    /** Reads the map that starts at the parser's current token. */
    fun readMap(parser: JsonParser): Map<String, Any?> {
        val map = LinkedHashMap<String, Any?>()
        while (nextToken(parser) != JsonToken.END_OBJECT) {
            val name = parser.currentName() ?: throw MalformedException("a key of a map is not text")
            nextToken(parser)
            map[name] = read(parser)
        }
        return map
    }

    private fun nextToken(parser: JsonParser): JsonToken = parser.nextToken() ?: throw MalformedException("body: ends too early")

    /** Writes [value]; throws an IllegalStateException for a value of any other type. */
    fun write(out: JsonGenerator, value: Any?) {
        when (value) {
            null -> out.writeNull()
            is String -> out.writeString(value)
            is Int -> out.writeNumber(value)
            is Long -> out.writeNumber(value)
            is BigInteger -> out.writeNumber(value)
            is Double -> out.writeNumber(value)
            is Boolean -> out.writeBoolean(value)
            is Map<*, *> -> writeMap(out, value)
            is List<*> -> writeList(out, value)
            else -> error("cannot encode a value of ${value.javaClass}")
        }
    }

    private fun writeMap(out: JsonGenerator, map: Map<*, *>) {
        out.writeStartObject(map, map.size)
        for ((name, item) in map) {
            out.writeFieldName(name as String)
            write(out, item)
        }
        out.writeEndObject()
    }

    private fun writeList(out: JsonGenerator, list: List<*>) {
        out.writeStartArray(list, list.size)
        for (item in list) write(out, item)
        out.writeEndArray()
    }
}

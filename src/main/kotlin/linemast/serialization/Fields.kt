package linemast.serialization

import java.math.BigInteger

/**
 * Typed access to the fields of a decoded map.
 *
 * Settings, messages and stored values are all decoded to maps with text keys, so one class gives access to all of them. A field
 * that is absent or null counts as missing. Reading a required field that is missing, or a field of another type, throws a
 * [MalformedException] that names the field.
 *
 * @property map the decoded values.
 * @property mapPath path of this map, as error messages state it; empty for the outermost map.
 */
class Fields(val map: Map<String, Any?>, private val mapPath: String = "") {
    /** Whether the field is present and not null. */
    fun has(name: String): Boolean = map[name] != null

    /** Returns the text of a required field. */
    fun text(name: String): String = textOrNull(name) ?: missing(name)

    /** Returns the text of a field; null if it is missing. */
    fun textOrNull(name: String): String? = typed(name, "text")

    /** Returns the boolean of a required field. */
    fun flag(name: String): Boolean = flagOrNull(name) ?: missing(name)

    /** Returns the boolean of a field; null if it is missing. */
    fun flagOrNull(name: String): Boolean? = typed(name, "true or false")

    /** Returns the finite number of a required field. */
    fun number(name: String): Double = numberOrNull(name) ?: missing(name)

    /** Returns the finite number of a field; null if it is missing. */
    fun numberOrNull(name: String): Double? {
        val value = typed<Number>(name, "a number")?.toDouble() ?: return null
        if (!value.isFinite()) fail(name, "must be finite")
        return value
    }

    /** Returns the integer of a required field. */
    fun long(name: String): Long = longOrNull(name) ?: missing(name)

    /** Returns the integer of a field; null if it is missing. */
    fun longOrNull(name: String): Long? = when (val value = map[name]) {
        null -> null
        is Int -> value.toLong()
        is Long -> value
        is BigInteger -> fail(name, "must be less than 2^63")
        is Double -> if (value == Math.rint(value) && Math.abs(value) < MAX_INTEGER) value.toLong() else fail(name, "must be an integer")
        else -> fail(name, "must be an integer")
    }

    /** Returns the duration of a required field, given in seconds, as whole microseconds. */
    fun durationMicros(name: String): Long = durationMicrosOrNull(name) ?: missing(name)

    /** Returns the duration of a field, given in seconds, as whole microseconds; null if the field is missing. */
    fun durationMicrosOrNull(name: String): Long? = numberOrNull(name)?.let { (it * MICROS_PER_SECOND).toLong() }

    /** Returns the map of a required field. */
    fun child(name: String): Fields = childOrNull(name) ?: missing(name)

    /** Returns the map of a field; null if it is missing. */
    @Suppress("UNCHECKED_CAST")
    fun childOrNull(name: String): Fields? = typed<Map<String, Any?>>(name, "a map")?.let { Fields(it, fieldPath(name)) }

    /** Returns the list of a required field. */
    fun list(name: String): List<Any?> = typed<List<Any?>>(name, "a list") ?: missing(name)

    /** Returns the list of texts of a field; null if it is missing. */
    fun textsOrNull(name: String): List<String>? =
        typed<List<Any?>>(name, "a list")?.map { it as? String ?: fail(name, "must hold texts only") }

    /** Returns the list of maps of a field; an empty list if it is missing. */
    @Suppress("UNCHECKED_CAST")
    fun children(name: String): List<Fields> = (typed<List<Any?>>(name, "a list") ?: emptyList()).mapIndexed { index, item ->
        val map = item as? Map<String, Any?> ?: fail(name, "must hold maps only")
        Fields(map, "${fieldPath(name)}[$index]")
    }

    /** Throws a [MalformedException] about field [name]; [problem] completes the sentence that begins with the name. */
    fun fail(name: String, problem: String): Nothing = throw MalformedException("${fieldPath(name)}: $problem")

    private fun missing(name: String): Nothing = fail(name, "is missing")

    private fun fieldPath(name: String) = if (mapPath.isEmpty()) name else "$mapPath.$name"

    private inline fun <reified T> typed(name: String, expected: String): T? = when (val value = map[name]) {
        null -> null
        is T -> value
        else -> fail(name, "must be $expected")
    }

    private companion object {
        /** A decimal number of this size or more may stand for several integers. */
        const val MAX_INTEGER = 1e15
        const val MICROS_PER_SECOND = 1e6
    }
}

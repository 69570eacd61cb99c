package linemast.serialization

/**
 * Typed access to the fields of a decoded map.
 *
 * Settings, messages and stored values all arrive as maps keyed by text, so one view serves them all. A field that is absent
 * or null counts as missing; one that is missing though required, or of another type, fails with a [MalformedException]
 * that names it.
 *
 * @property map the values as they were decoded.
 * @property mapPath path of the map in an error message; empty for the outermost one.
 */
class Fields(val map: Map<String, Any?>, private val mapPath: String = "") {
    /** Whether the field is there and not null. */
    fun has(name: String): Boolean = map[name] != null

    /** The text of a field that must be there. */
    fun text(name: String): String = textOrNull(name) ?: missing(name)

    /** The text of a field; null if it is absent. */
    fun textOrNull(name: String): String? = typed(name, "text")

    /** The boolean of a field that must be there. */
    fun flag(name: String): Boolean = flagOrNull(name) ?: missing(name)

    /** The boolean of a field; null if it is absent. */
    fun flagOrNull(name: String): Boolean? = typed(name, "true or false")

    /** The finite number of a field that must be there. */
    fun number(name: String): Double = numberOrNull(name) ?: missing(name)

    /** The finite number of a field; null if it is absent. */
    fun numberOrNull(name: String): Double? {
        val value = typed<Number>(name, "a number")?.toDouble() ?: return null
        if (!value.isFinite()) fail(name, "must be finite")
        return value
    }

    /** The integer of a field that must be there. */
    fun long(name: String): Long = longOrNull(name) ?: missing(name)

    /** The integer of a field; null if it is absent. */
    fun longOrNull(name: String): Long? = when (val value = map[name]) {
        null -> null
        is Int -> value.toLong()
        is Long -> value
        is Double -> if (value == Math.rint(value) && Math.abs(value) < MAX_INTEGER) value.toLong() else fail(name, "must be an integer")
        else -> fail(name, "must be an integer")
    }

    /** A duration given in seconds, as whole microseconds. */
    fun durationMicros(name: String): Long = durationMicrosOrNull(name) ?: missing(name)

    /** A duration given in seconds, as whole microseconds; null if the field is absent. */
    fun durationMicrosOrNull(name: String): Long? = numberOrNull(name)?.let { (it * MICROS_PER_SECOND).toLong() }

    /** The map of a field that must be there. */
    fun child(name: String): Fields = childOrNull(name) ?: missing(name)

    /** The map of a field; null if it is absent. */
    @Suppress("UNCHECKED_CAST")
    fun childOrNull(name: String): Fields? = typed<Map<String, Any?>>(name, "a map")?.let { Fields(it, fieldPath(name)) }

    /** The list of a field that must be there. */
    fun list(name: String): List<Any?> = typed<List<Any?>>(name, "a list") ?: missing(name)

    /** The list of texts of a field; null if it is absent. */
    fun textsOrNull(name: String): List<String>? =
        typed<List<Any?>>(name, "a list")?.map { it as? String ?: fail(name, "must hold texts only") }

    /** The list of maps of a field; empty if it is absent. */
    @Suppress("UNCHECKED_CAST")
    fun children(name: String): List<Fields> = (typed<List<Any?>>(name, "a list") ?: emptyList()).mapIndexed { index, item ->
        val map = item as? Map<String, Any?> ?: fail(name, "must hold maps only")
        Fields(map, "${fieldPath(name)}[$index]")
    }

    /** Rejects the input because of field [name]; [problem] completes the sentence that begins with the name. */
    fun fail(name: String, problem: String): Nothing = throw MalformedException("${fieldPath(name)}: $problem")

    private fun missing(name: String): Nothing = fail(name, "is missing")

    private fun fieldPath(name: String) = if (mapPath.isEmpty()) name else "$mapPath.$name"

    private inline fun <reified T> typed(name: String, expected: String): T? = when (val value = map[name]) {
        null -> null
        is T -> value
        else -> fail(name, "must be $expected")
    }

    private companion object {
        /** A decimal number above this may stand for several integers. */
        const val MAX_INTEGER = 1e15
        const val MICROS_PER_SECOND = 1e6
    }
}

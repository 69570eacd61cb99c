package linemast.settings

import linemast.serialization.Fields
import linemast.time.SECOND_MICROS
import linemast.transport.Address

private val IDENTIFIER = Regex("[A-Za-z0-9_.-]{1,64}")
private const val MAX_COUNT = 1_000_000

/** Rejects the table if it has a field that is not in [known]. */
internal fun Fields.rejectUnknownFields(known: Set<String>) {
    val unknown = map.keys.firstOrNull { it !in known } ?: return
    fail(unknown, "is not a setting")
}

/** Returns a name of up to 64 characters that is safe in keys and paths. */
internal fun Fields.identifier(name: String): String {
    val value = text(name)
    return if (IDENTIFIER.matches(value)) value else fail(name, "must be 1 to 64 letters, digits, '_', '.' or '-'")
}

/** Returns a network address with its port. */
internal fun Fields.address(name: String): Address =
    Address.parse(text(name)) ?: fail(name, "must be an address with a port from 1 to 65535, such as 10.0.0.1:8080")

/** Returns a number that is greater than 0. */
internal fun Fields.positive(name: String): Double = number(name).also { if (it <= 0) fail(name, "must be more than 0") }

/** Returns a number that is at least [min]. */
internal fun Fields.atLeast(name: String, min: Double): Double = number(name).also { if (it < min) fail(name, "must be at least $min") }

/** Returns a duration that is given in seconds and is greater than 0, as whole microseconds. */
internal fun Fields.duration(name: String): Long = (positive(name) * SECOND_MICROS).toLong()

/** Returns an integer from [min] to [MAX_COUNT], which is above every reasonable value of a setting. */
internal fun Fields.count(name: String, min: Int): Int {
    val value = long(name)
    return if (value in min..MAX_COUNT) value.toInt() else fail(name, "must be from $min to $MAX_COUNT")
}

/** Returns an integer within [range]; null if the field is absent. */
internal fun Fields.countOrNull(name: String, range: IntRange): Int? {
    val value = longOrNull(name) ?: return null
    if (value !in range.first.toLong()..range.last.toLong()) fail(name, "must be from ${range.first} to ${range.last}")
    return value.toInt()
}

/** Returns a number from [min] to [max]; null if the field is absent. */
internal fun Fields.numberOrNull(name: String, min: Double, max: Double): Double? {
    val value = numberOrNull(name) ?: return null
    if (value < min || value > max) fail(name, "must be from $min to $max")
    return value
}

/** Returns a duration that is given in seconds from [min] to [max], as whole microseconds; null if the field is absent. */
internal fun Fields.durationOrNull(name: String, min: Double, max: Double): Long? =
    numberOrNull(name, min, max)?.let { (it * SECOND_MICROS).toLong() }

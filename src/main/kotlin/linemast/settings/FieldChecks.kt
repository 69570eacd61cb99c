package linemast.settings

import linemast.serialization.Fields
import linemast.time.SECOND_MICROS
import linemast.transport.Address

private val IDENTIFIER = Regex("[A-Za-z0-9_.-]{1,64}")
private const val MAX_COUNT = 1_000_000

/** Refuses a table with a field that is not in [known]. */
internal fun Fields.rejectUnknownFields(known: Set<String>) {
    val unknown = map.keys.firstOrNull { it !in known } ?: return
    fail(unknown, "is not a setting")
}

/** A name of up to 64 characters that is safe in keys and paths. */
internal fun Fields.identifier(name: String): String {
    val value = text(name)
    return if (IDENTIFIER.matches(value)) value else fail(name, "must be 1 to 64 letters, digits, '_', '.' or '-'")
}

/** A numeric network address with its port. */
internal fun Fields.address(name: String): Address = Address.parse(text(name)) ?: fail(name, "must be an address such as 10.0.0.1:8080")

/** A number above 0. */
internal fun Fields.positive(name: String): Double = number(name).also { if (it <= 0) fail(name, "must be more than 0") }

/** A number of [min] or more. */
internal fun Fields.atLeast(name: String, min: Double): Double = number(name).also { if (it < min) fail(name, "must be at least $min") }

/** A duration in seconds above 0, as whole microseconds. */
internal fun Fields.duration(name: String): Long = (positive(name) * SECOND_MICROS).toLong()

/** A whole number of [min] or more, within what any setting can reasonably mean. */
internal fun Fields.count(name: String, min: Int): Int {
    val value = long(name)
    return if (value in min..MAX_COUNT) value.toInt() else fail(name, "must be from $min to $MAX_COUNT")
}

/** A whole number within [range]; null if it is absent. */
internal fun Fields.countOrNull(name: String, range: IntRange): Int? {
    val value = longOrNull(name) ?: return null
    if (value !in range.first.toLong()..range.last.toLong()) fail(name, "must be from ${range.first} to ${range.last}")
    return value.toInt()
}

/** A number from [min] to [max]; null if it is absent. */
internal fun Fields.numberOrNull(name: String, min: Double, max: Double): Double? {
    val value = numberOrNull(name) ?: return null
    if (value < min || value > max) fail(name, "must be from $min to $max")
    return value
}

/** A duration in seconds from [min] to [max], as whole microseconds; null if it is absent. */
internal fun Fields.durationOrNull(name: String, min: Double, max: Double): Long? =
    numberOrNull(name, min, max)?.let { (it * SECOND_MICROS).toLong() }

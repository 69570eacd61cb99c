package linemast.admission

/**
 * The positions of the [HashRing] whose ids a limited flow admits: those up to [length] behind [position], and that one itself.
 *
 * @property position the leading end of the range.
 * @property length how many positions behind its leading end it reaches.
 * @property rate by how many positions the range advances each second.
 */
data class HashRange(val position: Long, val length: Long, val rate: Long) {
    /** Whether the range covers [other]. */
    operator fun contains(other: Long): Boolean = HashRing.distance(other, position) <= length

    /** Whole seconds until the leading end reaches [other]. */
    fun secondsUntil(other: Long): Long = (HashRing.distance(position, other) + rate - 1) / rate

    /** The range [micros] later. */
    fun advancedBy(micros: Long): HashRange {
        val distance = (rate * (micros / 1e6)).toLong().coerceAtMost(HashRing.SIZE)
        return copy(position = HashRing.advance(position, distance))
    }
}

package linemast.admission

/**
 * A range of positions on the [HashRing]. A limited flow admits the job ids at these positions.
 *
 * @property position the leading end of the range, which is part of it.
 * @property length number of positions behind the leading end that also belong to the range.
 * @property rate number of positions by which the range advances per second.
 */
data class HashRange(val position: Long, val length: Long, val rate: Long) {
    /** Whether the range contains the position [other]. */
    operator fun contains(other: Long): Boolean = HashRing.distance(other, position) <= length

    /** Returns the whole seconds until the leading end reaches [other], rounded up. */
    fun secondsUntil(other: Long): Long = (HashRing.distance(position, other) + rate - 1) / rate

    /** Returns the range as it is [micros] later. */
    fun advancedBy(micros: Long): HashRange {
        val distance = (rate * (micros / 1e6)).toLong().coerceAtMost(HashRing.SIZE)
        return copy(position = HashRing.advance(position, distance))
    }
}

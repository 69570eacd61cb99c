package linemast.admission

import java.util.zip.CRC32

/**
 * Job ids as points of a circle, the same at every controller.
 *
 * A limited flow admits the ids in an arc of the circle whose head moves on: each id gets its turn once in a round,
 * and how far away that is can be told from the point alone.
 */
object HashRing {
    /** Points of the circle. */
    const val SIZE = 1L shl 32

    /** The point of [id]. */
    fun positionOf(id: String): Long = CRC32().apply { update(id.encodeToByteArray()) }.value

    /** How far [to] lies ahead of [from]. */
    fun distance(from: Long, to: Long): Long = Math.floorMod(to - from, SIZE)

    /** The point [distance] ahead of [from]. */
    fun advance(from: Long, distance: Long): Long = Math.floorMod(from + distance, SIZE)
}

/** The ids that a limited flow admits: those from [length] behind the [position] up to it; the head moves on by [rate] each second. */
data class HashRange(val position: Long, val length: Long, val rate: Long) {
    /** Whether [point] lies in the arc. */
    fun contains(point: Long): Boolean = HashRing.distance(point, position) <= length

    /** Whole seconds until the head reaches [point]. */
    fun secondsUntil(point: Long): Long = (HashRing.distance(position, point) + rate - 1) / rate

    /** The arc [micros] later. */
    fun after(micros: Long): HashRange =
        copy(position = HashRing.advance(position, (rate * (micros / 1e6)).toLong().coerceAtMost(HashRing.SIZE)))
}

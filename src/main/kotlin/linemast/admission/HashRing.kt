package linemast.admission

import java.util.zip.CRC32

/**
 * A ring of hash positions, the same at every controller, on which each job id has its place.
 *
 * A limited flow admits the ids in a [HashRange] that moves along the ring: each id gets its turn once in a round, and how far
 * away that is follows from its position alone.
 */
object HashRing {
    /** Positions of the ring: all that a CRC-32 can yield. */
    const val SIZE = 1L shl 32

    /** The position of [id]. */
    fun positionOf(id: String): Long = CRC32().apply { update(id.encodeToByteArray()) }.value

    /** How far [to] lies ahead of [from]. */
    fun distance(from: Long, to: Long): Long = Math.floorMod(to - from, SIZE)

    /** The position that lies [distance] ahead of [from]. */
    fun advance(from: Long, distance: Long): Long = Math.floorMod(from + distance, SIZE)
}

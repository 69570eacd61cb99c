package linemast.admission

import java.util.zip.CRC32

/**
 * A ring of hash positions, which is the same at every controller. Each job id has a position on it.
 *
 * A limited flow admits the ids in a [HashRange] that advances along the ring. The range reaches each id once in a round, and the time
 * until then depends only on the position of the id.
 */
object HashRing {
    /** Number of positions, one for each CRC-32 value. */
    const val SIZE = 1L shl 32

    /** Returns the position of [id]. */
    fun positionOf(id: String): Long = CRC32().apply { update(id.encodeToByteArray()) }.value

    /** Returns how far [to] is ahead of [from]. */
    fun distance(from: Long, to: Long): Long = Math.floorMod(to - from, SIZE)

    /** Returns the position that is [distance] ahead of [from]. */
    fun advance(from: Long, distance: Long): Long = Math.floorMod(from + distance, SIZE)
}

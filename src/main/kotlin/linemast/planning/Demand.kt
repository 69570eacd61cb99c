package linemast.planning

/**
 * Tells a pause between submissions from the end of demand.
 *
 * Owned machines are kept through pauses, since they take long to get back and may not be had again; once
 * nothing has come for many times the usual gap, keeping them idle only costs money. The gap is that of the
 * latest arrivals, so that a burst long ago does not make an ordinary pause look like the end.
 */
class Demand {
    private val latest = ArrayDeque<Long>()

    fun arrived(nowMicros: Long) {
        latest.addLast(nowMicros)
        if (latest.size > REMEMBERED) latest.removeFirst()
    }

    fun hasCeased(nowMicros: Long): Boolean {
        if (latest.size < ENOUGH) return false
        val gap = (latest.last() - latest.first()) / (latest.size - 1)
        return nowMicros - latest.last() > maxOf(GAPS * gap, LEAST_MICROS)
    }

    private companion object {
        const val REMEMBERED = 16
        const val ENOUGH = 8
        const val GAPS = 10
        const val LEAST_MICROS = 90_000_000L
    }
}

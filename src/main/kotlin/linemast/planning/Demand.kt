package linemast.planning

/**
 * Tells a pause between submissions from the end of demand.
 *
 * Owned machines are kept through pauses, since they may not be had again; once nothing has come for many
 * times the usual gap, keeping them idle only costs money.
 */
class Demand {
    private var firstMicros = 0L
    private var lastMicros = 0L
    private var arrivals = 0

    fun arrived(nowMicros: Long) {
        if (arrivals++ == 0) firstMicros = nowMicros
        lastMicros = nowMicros
    }

    fun hasCeased(nowMicros: Long): Boolean {
        if (arrivals < ENOUGH) return false
        val gap = (lastMicros - firstMicros) / (arrivals - 1)
        return nowMicros - lastMicros > maxOf(GAPS * gap, LEAST_MICROS)
    }

    private companion object {
        const val ENOUGH = 8
        const val GAPS = 6
        const val LEAST_MICROS = 45_000_000L
    }
}

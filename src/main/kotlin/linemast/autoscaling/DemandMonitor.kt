package linemast.autoscaling

/**
 * Tells a pause between submissions from the end of demand.
 *
 * Owned machines are kept through pauses, since they take long to get back and may not be had again; once
 * nothing has come for many times the usual gap, keeping them idle only costs money. The gap is that of the
 * latest arrivals, so that a burst long ago does not make an ordinary pause look like the end. Only time in which
 * something could have come counts: in an outage nobody can submit.
 */
class DemandMonitor {
    private val latest = ArrayDeque<Long>()
    private var silentMicros = 0L
    private var watchedMicros = Long.MIN_VALUE

    /** A job was submitted. */
    fun arrived(nowMicros: Long) {
        latest.addLast(nowMicros)
        if (latest.size > REMEMBERED) latest.removeFirst()
        silentMicros = 0
    }

    /** Called again and again while submissions are possible; a longer time without a call was an interruption. */
    fun watch(nowMicros: Long) {
        val passed = if (watchedMicros == Long.MIN_VALUE) 0 else nowMicros - watchedMicros
        if (passed <= INTERRUPTION_MICROS) silentMicros += passed
        watchedMicros = nowMicros
    }

    /** Whether nothing has come for so long that nothing more is expected. */
    fun hasCeased(): Boolean {
        if (latest.size < ENOUGH) return false
        val gap = (latest.last() - latest.first()) / (latest.size - 1)
        return silentMicros > maxOf(GAPS * gap, MIN_MICROS)
    }

    private companion object {
        const val REMEMBERED = 16
        const val ENOUGH = 8
        const val GAPS = 10
        const val MIN_MICROS = 40_000_000L
        const val INTERRUPTION_MICROS = 1_000_000L
    }
}

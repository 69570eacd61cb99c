package linemast.autoscaling

/** Tells when an action that is repeated at [intervalMicros] is due; it is due at once until it was done for the first time. */
internal class IntervalTimer(private val intervalMicros: Long) {
    /** When the action was done last; null if it never was, or is to be repeated early. */
    private var lastMicros: Long? = null

    /** Whether the interval is over. */
    fun isDue(nowMicros: Long): Boolean = lastMicros.let { it == null || nowMicros - it >= intervalMicros }

    /** The action is done now. */
    fun restart(nowMicros: Long) {
        lastMicros = nowMicros
    }

    /** Makes the action due at once. */
    fun expire() {
        lastMicros = null
    }
}

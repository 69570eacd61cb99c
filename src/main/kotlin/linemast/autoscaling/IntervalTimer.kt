package linemast.autoscaling

/**
 * Tells when an action that is repeated every [intervalMicros] is due. The action is due at once until it is performed for the
 * first time.
 */
internal class IntervalTimer(private val intervalMicros: Long) {
    /** When the action was last performed; null if it never was, or if it is to be repeated early. */
    private var lastMicros: Long? = null

    /** Whether the action is due: its interval is over, or it is to be performed at once. */
    fun isDue(nowMicros: Long): Boolean = lastMicros.let { it == null || nowMicros - it >= intervalMicros }

    /** Records that the action is performed at [nowMicros], which begins the next interval. */
    fun restart(nowMicros: Long) {
        lastMicros = nowMicros
    }

    /** Makes the action due at once. */
    fun expire() {
        lastMicros = null
    }
}

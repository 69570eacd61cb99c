package linemast.store

import linemast.time.SECOND_MICROS

/**
 * How urgent a call to a rate-limited service is.
 *
 * @property reservedShare share of the tokens that the call leaves to more urgent ones.
 * @property queueTimeoutMicros how long the call may wait for its token before it fails.
 */
enum class RequestPriority(val reservedShare: Double, val queueTimeoutMicros: Long) {
    /** Calls that the leadership depends on. */
    CRITICAL(0.0, 2 * SECOND_MICROS),

    /** Submissions, cancellations, and the start and end of jobs. */
    HIGH(0.1, 1_500_000),

    /** All other calls that somebody waits for. */
    NORMAL(0.3, 1_500_000),

    /** Calls that can as well be made later. */
    BACKGROUND(0.5, 0),
}

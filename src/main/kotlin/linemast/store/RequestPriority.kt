package linemast.store

import linemast.time.SECOND_MICROS

/**
 * Priority of a call to a rate-limited service.
 *
 * @property reservedShare share of the tokens that is reserved for calls of higher priority.
 * @property queueTimeoutMicros how long the call may wait for a token before it fails.
 */
enum class RequestPriority(val reservedShare: Double, val queueTimeoutMicros: Long) {
    /** Calls that the leadership depends on. */
    CRITICAL(0.0, 2 * SECOND_MICROS),

    /** Submissions, cancellations, and the start and end of jobs. */
    HIGH(0.1, 1_500_000),

    /** All other calls whose result a user or another operation waits for. */
    NORMAL(0.3, 1_500_000),

    /** Calls that can be postponed. */
    BACKGROUND(0.5, 0),
}

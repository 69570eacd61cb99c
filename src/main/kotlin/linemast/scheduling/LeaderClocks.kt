package linemast.scheduling

import linemast.time.Clock

/** The clocks of the leader's process. */
class LeaderClocks(
    /** For intervals; its readings mean nothing to other processes. */
    val monotonic: Clock,
    /** Time of day in microseconds, for deadlines and ages of jobs. */
    val wallMicros: () -> Long,
)

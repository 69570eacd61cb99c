package linemast.scheduling

import linemast.time.Clock

/** The clocks of the leader's process. */
class LeaderClocks(
    /** Monotonic clock for intervals; its times are meaningless in other processes. */
    val monotonic: Clock,
    /** Returns the wall time in microseconds, for deadlines and ages of jobs. */
    val wallMicros: () -> Long,
)

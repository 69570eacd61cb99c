package linemast.duties

import linemast.cloud.ScaleInReason
import linemast.settings.Duty

/** The duty that the removal of a machine for this reason belongs to. */
internal val ScaleInReason.duty: Duty
    get() = when (this) {
        ScaleInReason.IDLE, ScaleInReason.BASELINE_IDLE -> Duty.SCALE_IN
        ScaleInReason.FAILED, ScaleInReason.NEVER_STARTED, ScaleInReason.PREEMPTED_WITHOUT_NOTICE -> Duty.CLEAN_UP
        ScaleInReason.QUARANTINED,
        ScaleInReason.PREEMPTED,
        ScaleInReason.MISSING_HEARTBEAT,
        ScaleInReason.UNREACHABLE,
        ScaleInReason.MISSING_AFTER_FAILOVER,
        -> Duty.RECLAIM
    }

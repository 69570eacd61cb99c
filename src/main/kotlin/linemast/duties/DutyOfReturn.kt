package linemast.duties

import linemast.cloud.ScaleInReason
import linemast.settings.Duty

/** The duty that giving a machine back for this reason belongs to. */
internal val ScaleInReason.duty: Duty
    get() = when (this) {
        ScaleInReason.IDLE, ScaleInReason.BASELINE_IDLE -> Duty.RETURN
        ScaleInReason.FAILED, ScaleInReason.NEVER_UP, ScaleInReason.TAKEN -> Duty.CLEAN_UP
        ScaleInReason.FAULTY, ScaleInReason.PREEMPTED, ScaleInReason.SILENT, ScaleInReason.DEAF, ScaleInReason.ABSENT -> Duty.RECLAIM
    }

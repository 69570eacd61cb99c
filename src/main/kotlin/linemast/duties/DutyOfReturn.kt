package linemast.duties

import linemast.cloud.ReturnReason
import linemast.settings.Duty

/** The duty that giving a machine back for this reason belongs to. */
internal val ReturnReason.duty: Duty
    get() = when (this) {
        ReturnReason.IDLE, ReturnReason.OWNED_IDLE -> Duty.RETURN
        ReturnReason.FAILED, ReturnReason.NEVER_UP, ReturnReason.TAKEN -> Duty.CLEAN_UP
        ReturnReason.FAULTY, ReturnReason.PREEMPTED, ReturnReason.SILENT, ReturnReason.DEAF, ReturnReason.ABSENT -> Duty.RECLAIM
    }

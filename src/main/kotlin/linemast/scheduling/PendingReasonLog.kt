package linemast.scheduling

import linemast.domain.Job
import linemast.domain.PendingReason
import org.slf4j.LoggerFactory

/** Records why jobs are pending, and logs each change of the reason. */
internal class PendingReasonLog {
    private val log = LoggerFactory.getLogger(PendingReasonLog::class.java)

    /** Records [reason] as the reason why no further task of [job] could be placed. */
    fun record(job: Job, reason: PendingReason) {
        if (job.pendingReason == reason) return
        job.pendingReason = reason
        log.debug("{}: pending: {}", job.id, reason.description)
    }
}

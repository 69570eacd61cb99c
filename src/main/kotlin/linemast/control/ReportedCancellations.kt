package linemast.control

import kotlinx.coroutines.launch
import linemast.scheduling.Cluster

/** Applies cancellations that controllers report to the leader, which may not be able to read them from the store. */
internal class ReportedCancellations(private val term: LeaderTerm, private val cluster: Cluster) {
    /**
     * Applies the cancellation of the job with [jobId], which the store holds. After that, calls [onAcknowledged] if this leader may
     * issue commands: no earlier leader may issue any, and a later one reads the cancellation when it loads the state.
     */
    fun apply(jobId: String, onAcknowledged: () -> Unit) {
        term.scope.launch {
            term.eventLoop.enqueue {
                val nowMicros = term.clock.nowMicros()
                cluster.applyCancellation(jobId, nowMicros)
                if (term.lease.mayIssueCommands(nowMicros)) onAcknowledged()
            }
        }
    }
}

package linemast.control

import linemast.leadership.LeaderLease
import linemast.peers.PeerView
import linemast.scheduling.Cluster
import org.slf4j.LoggerFactory

/** Decides when a leader that could still renew its lease steps down, so that another controller can lead. */
internal class StepDownPolicy(private val cluster: Cluster, private val lease: LeaderLease, private val peers: PeerView) {
    private val log = LoggerFactory.getLogger(StepDownPolicy::class.java)

    /** Steps down if there is a reason to at [nowMicros]. */
    fun stepDownIfDue(nowMicros: Long) {
        stepDownIfWorkersReachOnlyPeers(nowMicros)
        stepDownIfAttemptNumbersAreExhausted()
    }

    /**
     * Steps down if the workers reach other controllers but not this one: while this controller renews its lease, the others
     * redirect the workers here, until the workers' own leases expire.
     */
    private fun stepDownIfWorkersReachOnlyPeers(nowMicros: Long) {
        if (!cluster.areMostHeartbeatsMissing(nowMicros) || !peers.anyPeerReceivesHeartbeats) return
        log.info("stepping down: heartbeats of most workers are overdue at this controller, but another controller receives heartbeats")
        lease.stepDown()
    }

    /** Steps down before the attempt numbers run out: they belong to a fencing token, and the next term has as many again. */
    private fun stepDownIfAttemptNumbersAreExhausted() {
        if (!cluster.attemptNumbers.isNearlyExhausted || lease.hasSteppedDown) return
        log.info("stepping down: the attempt numbers of this term are nearly exhausted; the next term has as many again")
        lease.stepDown()
    }
}

package linemast.control

import linemast.leadership.LeaderLease
import linemast.peers.PeerView
import linemast.scheduling.Cluster
import org.slf4j.LoggerFactory

/** Decides when a leader that could keep its lease gives the leadership to another controller. */
internal class StepDownPolicy(private val cluster: Cluster, private val lease: LeaderLease, private val peers: PeerView) {
    private val log = LoggerFactory.getLogger(StepDownPolicy::class.java)

    /** Steps down if one of the reasons holds at [nowMicros]. */
    fun stepDownIfDue(nowMicros: Long) {
        stepDownIfWorkersAreLost(nowMicros)
        stepDownIfAttemptNumbersAreExhausted()
    }

    /**
     * The workers reach other controllers but not this one: as long as it renewed its lease, they would be redirected
     * here until their own leases expire.
     */
    private fun stepDownIfWorkersAreLost(nowMicros: Long) {
        if (!cluster.areMostHeartbeatsMissing(nowMicros) || !peers.anyPeerReceivesHeartbeats) return
        log.info("stepping down: workers send their heartbeats to other controllers and do not get through here")
        lease.stepDown()
    }

    /** Attempt numbers belong to a fencing token: the next term has as many again. */
    private fun stepDownIfAttemptNumbersAreExhausted() {
        if (!cluster.attemptNumbers.isNearlyExhausted || lease.hasSteppedDown) return
        log.info("stepping down: attempt numbers are nearly used up")
        lease.stepDown()
    }
}

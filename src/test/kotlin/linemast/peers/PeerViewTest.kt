package linemast.peers

import linemast.domain.JobProgress
import linemast.time.Clock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against decisions by outdated statuses of peers. */
class PeerViewTest {
    private var nowMicros = 0L
    private val view = PeerView(Clock { nowMicros })

    /**
     * Statuses from before an outage of the store were once used for five more seconds. Each controller then assumed that a peer reached
     * the store, and all controllers reported themselves unhealthy.
     */
    @Test
    fun `only the latest status of a peer is used, and only while it is fresh`() {
        view.recordStatus(status("mast-1", reachesStore = true))
        assertTrue(view.anyPeerReachesStore && view.hasReachablePeer)
        nowMicros += 1_000_000
        view.recordStatus(status("mast-1", reachesStore = false))
        assertFalse(view.anyPeerReachesStore)
        view.recordStatus(status("mast-2", reachesStore = true, receivesHeartbeats = true))
        assertTrue(view.anyPeerReachesStore && view.anyPeerReceivesHeartbeats)
        nowMicros += 4_000_000
        assertFalse(view.anyPeerReachesStore || view.anyPeerReceivesHeartbeats || view.hasReachablePeer)
    }

    @Test
    fun `progress is taken from the leader with the highest fencing token, and only while it is fresh`() {
        view.recordStatus(status("mast-1", fencingToken = 4, isLeader = true, completed = 7))
        view.recordStatus(status("mast-2", fencingToken = 3, isLeader = true, completed = 1))
        assertEquals(7, view.progressOf("req-1")?.completed)
        nowMicros += 6_000_000
        assertNull(view.progressOf("req-1"))
    }

    private fun status(
        node: String,
        fencingToken: Long = 1,
        isLeader: Boolean = false,
        reachesStore: Boolean = false,
        receivesHeartbeats: Boolean = false,
        completed: Int = 0,
    ) = PeerStatus(node, fencingToken, isLeader, reachesStore, receivesHeartbeats, mapOf("req-1" to JobProgress(completed, 0)))
}

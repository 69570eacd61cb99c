package linemast.control

import kotlinx.coroutines.Job
import linemast.domain.Command
import linemast.domain.Heartbeat
import linemast.leadership.CancellationFreshness
import linemast.leadership.LeaderLease
import linemast.scheduling.Cluster
import linemast.time.Clock
import linemast.time.MICROS_PER_MILLI
import org.slf4j.LoggerFactory

/**
 * Passes heartbeats to the cluster state and builds the responses.
 *
 * @property termJob the job of the leader's term, which is cancelled when the term ends.
 */
internal class HeartbeatResponder(
    private val termJob: Job,
    private val eventQueue: LeaderEventQueue,
    private val lease: LeaderLease,
    private val clock: Clock,
    private val cluster: Cluster,
    private val cancellationFreshness: CancellationFreshness,
    private val permissions: HeartbeatPermissions,
) {
    private val log = LoggerFactory.getLogger(HeartbeatResponder::class.java)

    /**
     * Returns the response to [heartbeat], which renews the worker's lease, or null if the leader must not respond, if its term ends
     * before it does, or if the worker waits no longer for a response.
     */
    suspend fun respond(heartbeat: Heartbeat): HeartbeatResponse? {
        if (heartbeat.fencingToken > lease.fencingToken) return null
        val queued = QueuedHeartbeat(heartbeat, termJob)
        // Waits in the queue until the store has been read: before, the leader knows no cancellations and must not renew leases.
        if (eventQueue.tryEnqueue { queued.handle(::handle) }) return queued.awaitResponse()
        queued.drop()
        return null
    }

    private fun handle(heartbeat: Heartbeat): HeartbeatResponse? {
        val now = clock.nowMicros()
        val permission = permissions.permissionAt(now) ?: return null
        val commands = cluster.heartbeat(heartbeat, now, permission) ?: return null
        val startedJobs = commands.filterIsInstance<Command.Start>().mapNotNullTo(LinkedHashSet()) { cluster.jobs[it.task.job] }
        logStarts(heartbeat, commands, now)
        return HeartbeatResponse(lease.fencingToken, commands, startedJobs, cancellationFreshness, lease)
    }

    private fun logStarts(heartbeat: Heartbeat, commands: List<Command>, nowMicros: Long) {
        if (!log.isDebugEnabled) return
        val starts = commands.count { it is Command.Start }
        if (starts == 0) return
        val viewAgeMillis = cancellationFreshness.freshAsOfMicros?.let { (nowMicros - it) / MICROS_PER_MILLI }
        log.debug("{}: {} starts, on a view of the cancellations that is {} ms old", heartbeat.machineName, starts, viewAgeMillis)
    }
}

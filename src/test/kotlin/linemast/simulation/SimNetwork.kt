package linemast.simulation

import kotlinx.coroutines.delay
import linemast.time.Clock

/** Faults of the links between users, workers and controllers, and pauses of controller processes. */
class SimNetwork(private val clock: Clock) {
    /** Probability that a message is lost. */
    var messageLossProbability = 0.0

    /** Longest latency of a request from a worker or a user to a controller. */
    var maxLatencyMillis = 10L

    /** Longest latency of a message between controllers other than a status. */
    var maxPeerLatencyMillis = 10L

    /** Whether controllers exchange messages about cancellations; controllers of earlier versions do not. */
    var deliversCancellationMessages = true

    /** Probability that a duplicate of a heartbeat arrives after a delay of up to several leases. */
    var delayedDuplicateProbability = 0.0

    /** Controllers that no request of a user or a worker reaches. */
    val unreachable = HashSet<Int>()

    /** Controllers that no heartbeat reaches; requests of users do. */
    val unreachableForWorkers = HashSet<Int>()

    /** Controllers that exchange no statuses with the other controllers. */
    val partitioned = HashSet<Int>()

    /** If set, the workers of this zone reach only controller 0, and nobody else reaches controller 0. */
    var partitionedZone: String? = null

    /** Until when each controller is paused: it receives and sends no messages, and its clock goes on. */
    private val pausedUntilMicros = LongArray(CONTROLLER_COUNT)

    /** Pauses [controller] for [micros] from now on. */
    fun pause(controller: Int, micros: Long) {
        pausedUntilMicros[controller] = clock.nowMicros() + micros
    }

    /** Suspends while [controller] is paused. */
    suspend fun awaitResume(controller: Int) {
        while (clock.nowMicros() < pausedUntilMicros[controller]) delay((pausedUntilMicros[controller] - clock.nowMicros()) / 1_000 + 1)
    }

    /** Whether [partitionedZone] separates [controller] from senders in [zone]; users have no zone, hence null. */
    fun isPartitionedByZone(controller: Int, zone: String?): Boolean =
        partitionedZone?.let { separated -> (zone == separated) != (controller == 0) } ?: false

    /** Whether a request for [path] from [zone] does not reach [controller]. */
    fun isUnreachable(controller: Int, zone: String?, path: String): Boolean = isPartitionedByZone(controller, zone) ||
        controller in unreachable ||
        (controller in unreachableForWorkers && path == HEARTBEAT_PATH)

    /** Whether a partition separates the controllers [from] and [to]. */
    fun isPartitioned(from: Int, to: Int): Boolean = from in partitioned || to in partitioned

    private companion object {
        const val HEARTBEAT_PATH = "/agent/beat"
    }
}

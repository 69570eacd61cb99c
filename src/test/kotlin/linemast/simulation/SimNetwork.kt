package linemast.simulation

import kotlinx.coroutines.delay
import linemast.time.Clock

/** The faults of the links between users, workers and controllers, and of controllers that stand still. */
class SimNetwork(private val clock: Clock) {
    /** Share of messages that get lost. */
    var messageLossProbability = 0.0

    /** Longest time that a message between workers or users and controllers takes. */
    var maxLatencyMillis = 10L

    /** Share of heartbeats of which a copy arrives later, up to several leases. */
    var delayedDuplicateProbability = 0.0

    /** Controllers that neither users nor workers reach. */
    val unreachable = HashSet<Int>()

    /** Controllers that workers do not get through to. */
    val unreachableForWorkers = HashSet<Int>()

    /** Controllers that exchange nothing with the other controllers. */
    val partitioned = HashSet<Int>()

    /** A zone of which the workers reach only controller 0, which nobody else reaches. */
    var partitionedZone: String? = null

    /** Until when controllers stand still while their clocks run on: nothing comes in, and nothing that is ready leaves. */
    private val pausedUntilMicros = LongArray(CONTROLLER_COUNT)

    /** Makes the controller [controller] stand still for [micros] from now on. */
    fun pause(controller: Int, micros: Long) {
        pausedUntilMicros[controller] = clock.nowMicros() + micros
    }

    /** Waits while the controller [controller] stands still. */
    suspend fun awaitResume(controller: Int) {
        while (clock.nowMicros() < pausedUntilMicros[controller]) delay((pausedUntilMicros[controller] - clock.nowMicros()) / 1_000 + 1)
    }

    /** Whether nothing passes between the controller [controller] and senders in [zone]; null for users, who are in none. */
    fun isPartitionedByZone(controller: Int, zone: String?): Boolean =
        partitionedZone?.let { separated -> (zone == separated) != (controller == 0) } ?: false

    /** Whether a request for [path] from [zone] does not reach the controller [controller]. */
    fun isUnreachable(controller: Int, zone: String?, path: String): Boolean = isPartitionedByZone(controller, zone) ||
        controller in unreachable ||
        (controller in unreachableForWorkers && path == HEARTBEAT_PATH)

    /** Whether the controllers [from] and [to] are apart. */
    fun isPartitioned(from: Int, to: Int): Boolean = from in partitioned || to in partitioned

    private companion object {
        const val HEARTBEAT_PATH = "/agent/beat"
    }
}

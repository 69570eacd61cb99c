package linemast.duties

import kotlinx.coroutines.delay
import linemast.cloud.Cloud
import linemast.cloud.CloudException
import linemast.cloud.ScaleOutResult
import linemast.leadership.LeaderLease
import linemast.time.Clock
import linemast.time.SECOND_MICROS
import org.slf4j.LoggerFactory

/**
 * Carries out open intents of this term and of previous leaders at the cloud, and queues their final states for the store.
 *
 * The cloud is called only while the leader's lease is valid. A process that is paused between the check of the lease and the
 * call may still make the call late; this is safe because the intent is already committed and the next leader resolves it.
 */
internal class IntentRunner(
    private val cloud: Cloud,
    private val clock: Clock,
    private val wallMicros: () -> Long,
    private val leaderLease: LeaderLease,
    private val writer: IntentWriter,
    private val scaleOutRetryTimeoutMicros: Long,
) {
    private val logger = LoggerFactory.getLogger(IntentRunner::class.java)

    /** Repeats the request until the cloud responds or the intent is too old; returns [ScaleOutResult.Unknown] if it is too old. */
    suspend fun scaleOut(open: StoredIntent, action: CloudAction.ScaleOut): ScaleOutResult {
        while (mayRetry(open.intent)) {
            awaitValidLease()
            when (val result = tryScaleOut(action)) {
                is ScaleOutResult.Granted -> {
                    writer.close(open, IntentState.CARRIED_OUT, result.names.size)
                    return result
                }
                ScaleOutResult.NoCapacity -> {
                    writer.close(open, IntentState.REFUSED, 0)
                    return result
                }
                ScaleOutResult.Unknown -> delay(RETRY_INTERVAL_MILLIS)
            }
        }
        logger.info("scale-out {} is abandoned: no response from the cloud before the retry timeout", action.request.requestId)
        writer.close(open, IntentState.ABANDONED, 0)
        return ScaleOutResult.Unknown
    }

    private fun mayRetry(intent: Intent): Boolean = wallMicros() - intent.decidedWallMicros < scaleOutRetryTimeoutMicros

    /** Treats a request that the cloud rejects as malformed like one without capacity, since no retry can succeed. */
    private suspend fun tryScaleOut(action: CloudAction.ScaleOut): ScaleOutResult = try {
        cloud.scaleOut(action.request)
    } catch (e: CloudException) {
        logger.error("scale-out {} failed and is not retried: {}", action.request.requestId, e.message)
        ScaleOutResult.NoCapacity
    }

    /** Repeats the scale-in of [names], with exponential back-off, until the cloud confirms it. */
    suspend fun scaleIn(names: List<String>) {
        var backOffMillis = RETRY_INTERVAL_MILLIS
        while (true) {
            awaitValidLease()
            try {
                return cloud.scaleIn(names)
            } catch (e: CloudException) {
                logger.info("scale-in of {}: failed, retried after a back-off: {}", names, e.message)
            }
            delay(backOffMillis)
            backOffMillis = minOf(backOffMillis * 2, MAX_BACK_OFF_MILLIS)
        }
    }

    /** Closes [open] after the cloud has confirmed the scale-in of [machineCount] machines. */
    suspend fun closeScaleIn(open: StoredIntent, machineCount: Int) = writer.close(open, IntentState.CARRIED_OUT, machineCount)

    private suspend fun awaitValidLease() {
        while (!leaderLease.mayIssueCommands(clock.nowMicros())) {
            if (leaderLease.hasEnded) throw LeadershipLostException(leaderLease.fencingToken)
            delay(LEASE_POLL_INTERVAL_MILLIS)
        }
    }

    private companion object {
        const val RETRY_INTERVAL_MILLIS = SECOND_MICROS / 1_000

        /** Back-off keeps scale-ins that accumulate in an outage of the cloud from exhausting its rate limit afterwards. */
        const val MAX_BACK_OFF_MILLIS = 16 * RETRY_INTERVAL_MILLIS
        const val LEASE_POLL_INTERVAL_MILLIS = 100L
    }
}

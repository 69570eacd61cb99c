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
 * Carries out open intents at the cloud, of this term and of previous leaders alike, and has their final states stored.
 *
 * A call is made only while the leader's lease is valid. A process that is suspended between that check and the call may
 * still make it late: by then the intent has been committed, and the next leader accounts for it.
 */
internal class IntentRunner(
    private val cloud: Cloud,
    private val clock: Clock,
    private val wallMicros: () -> Long,
    private val leaderLease: LeaderLease,
    private val writer: IntentWriter,
    private val scaleOutRetryMicros: Long,
) {
    private val logger = LoggerFactory.getLogger(IntentRunner::class.java)

    /** Repeats the request until the cloud has answered or the intent is too old; [ScaleOutResult.Unknown] in the latter case. */
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
        logger.info("scale-out {} is abandoned: no answer", action.request.requestId)
        writer.close(open, IntentState.ABANDONED, 0)
        return ScaleOutResult.Unknown
    }

    private fun mayRetry(intent: Intent): Boolean = wallMicros() - intent.decidedWallMicros < scaleOutRetryMicros

    /** A request that the cloud takes to be malformed will never be carried out. */
    private suspend fun tryScaleOut(action: CloudAction.ScaleOut): ScaleOutResult = try {
        cloud.scaleOut(action.request)
    } catch (e: CloudException) {
        logger.error("scale-out {}: {}", action.request.requestId, e.message)
        ScaleOutResult.NoCapacity
    }

    /** Repeats the scale-in of [names] until the cloud has confirmed it. */
    suspend fun scaleIn(names: List<String>) {
        var backoffMillis = RETRY_INTERVAL_MILLIS
        while (true) {
            awaitValidLease()
            try {
                return cloud.scaleIn(names)
            } catch (e: CloudException) {
                logger.info("scale-in of {}: {}", names, e.message)
            }
            delay(backoffMillis)
            backoffMillis = minOf(backoffMillis * 2, MAX_BACKOFF_MILLIS)
        }
    }

    /** Has it stored that the scale-in of [machineCount] machines is confirmed. */
    suspend fun closeScaleIn(open: StoredIntent, machineCount: Int) = writer.close(open, IntentState.CARRIED_OUT, machineCount)

    private suspend fun awaitValidLease() {
        while (!leaderLease.mayIssueCommands(clock.nowMicros())) {
            if (leaderLease.hasEnded) throw LeadershipLostException(leaderLease.fencingToken)
            delay(LEASE_POLL_INTERVAL_MILLIS)
        }
    }

    private companion object {
        const val RETRY_INTERVAL_MILLIS = SECOND_MICROS / 1_000

        /** Scale-ins that pile up in an outage of the cloud must not use up the calls that it takes afterwards. */
        const val MAX_BACKOFF_MILLIS = 16 * RETRY_INTERVAL_MILLIS
        const val LEASE_POLL_INTERVAL_MILLIS = 100L
    }
}

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
 * Carries out open intents at the cloud, this term's own ones and inherited ones alike, and has their ends stored.
 *
 * A call leaves only while the authority lasts. A process that stands still between that check and the call may still
 * send it late: by then the intent has been committed, and the next leader acts on it too.
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

    /** Repeats the rental until the cloud has answered or it is too old; [ScaleOutResult.Unknown] in the latter case. */
    suspend fun scaleOut(open: StoredIntent, rental: CloudAction.ScaleOut): ScaleOutResult {
        while (isYoung(open.intent)) {
            awaitAuthority()
            when (val result = tryScaleOut(rental)) {
                is ScaleOutResult.Granted -> {
                    writer.close(open, IntentState.CARRIED_OUT, result.names.size)
                    return result
                }
                ScaleOutResult.NoCapacity -> {
                    writer.close(open, IntentState.REFUSED, 0)
                    return result
                }
                ScaleOutResult.Unknown -> delay(RETRY_MILLIS)
            }
        }
        logger.info("rental {} is abandoned: no answer", rental.request.requestId)
        writer.close(open, IntentState.ABANDONED, 0)
        return ScaleOutResult.Unknown
    }

    private fun isYoung(intent: Intent): Boolean = wallMicros() - intent.decidedWallMicros < scaleOutRetryMicros

    /** A request that the cloud takes to be malformed will never be carried out. */
    private suspend fun tryScaleOut(rental: CloudAction.ScaleOut): ScaleOutResult = try {
        cloud.scaleOut(rental.request)
    } catch (e: CloudException) {
        logger.error("rental {}: {}", rental.request.requestId, e.message)
        ScaleOutResult.NoCapacity
    }

    /** Repeats the return of [names] until the cloud has confirmed it. */
    suspend fun scaleIn(names: List<String>) {
        var pauseMillis = RETRY_MILLIS
        while (true) {
            awaitAuthority()
            try {
                return cloud.scaleIn(names)
            } catch (e: CloudException) {
                logger.info("return of {}: {}", names, e.message)
            }
            delay(pauseMillis)
            pauseMillis = minOf(pauseMillis * 2, MAX_PAUSE_MILLIS)
        }
    }

    /** Has the end of a return stored. */
    suspend fun closeReturn(open: StoredIntent, machineCount: Int) = writer.close(open, IntentState.CARRIED_OUT, machineCount)

    private suspend fun awaitAuthority() {
        while (!leaderLease.mayIssueCommands(clock.nowMicros())) {
            if (leaderLease.ended) throw LeadershipLostException(leaderLease.fencingToken)
            delay(AUTHORITY_MILLIS)
        }
    }

    private companion object {
        const val RETRY_MILLIS = SECOND_MICROS / 1_000

        /** Returns that pile up in an outage of the cloud must not use up the calls that it takes afterwards. */
        const val MAX_PAUSE_MILLIS = 16 * RETRY_MILLIS
        const val AUTHORITY_MILLIS = 100L
    }
}

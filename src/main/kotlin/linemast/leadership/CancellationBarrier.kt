package linemast.leadership

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import linemast.settings.WorkerSettings
import linemast.time.Clock
import linemast.time.MICROS_PER_MILLI
import org.slf4j.LoggerFactory

/**
 * Delays each response that tells a user of a cancellation until the cancellation is in effect, which means that no controller
 * starts a task of the job any more.
 *
 * A cancellation in the store is in effect as soon as one of these holds:
 * - A leader that may issue commands has acknowledged it. That leader starts no task of the job, leaders before it may issue no
 *   commands any more, and leaders after it read the store later.
 * - Every view from before the cancellation is too old for starts. This needs no other controller, and also holds for leaders
 *   of earlier versions, which acknowledge nothing.
 *
 * @param maxStartStalenessMicros greatest age of the view of the cancellations at which any leader starts tasks.
 * @param requestAcknowledgement asks all controllers that may lead to acknowledge the cancellation of the job with the given id;
 * called again until [acknowledge] is called or the time is over. Must not throw an exception.
 */
class CancellationBarrier(
    private val scope: CoroutineScope,
    private val clock: Clock,
    maxStartStalenessMicros: Long,
    private val requestAcknowledgement: (jobId: String) -> Unit,
) {
    constructor(scope: CoroutineScope, clock: Clock, workers: WorkerSettings, requestAcknowledgement: (jobId: String) -> Unit) :
        this(scope, clock, CancellationFreshness.maxStartStalenessMicros(workers), requestAcknowledgement)

    private val log = LoggerFactory.getLogger(CancellationBarrier::class.java)
    private val maxWaitMicros = maxStartStalenessMicros + LeaderLease.driftMicros(maxStartStalenessMicros)
    private val pending = HashMap<String, CompletableDeferred<Unit>>()
    private val inEffect = object : LinkedHashMap<String, Unit>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Unit>) = size > MAX_JOBS_IN_EFFECT
    }

    /**
     * Suspends until the cancellation of the job with [jobId] is in effect; the caller must have read it from the store or
     * committed it. Concurrent callers share one wait, which goes on when all of them are cancelled.
     */
    suspend fun awaitEffect(jobId: String) {
        if (jobId in inEffect) return
        val effect = pending[jobId] ?: startWait(jobId)
        effect.await()
    }

    /** Records that a leader which may issue commands starts no task of the job with [jobId] any more. */
    fun acknowledge(jobId: String) {
        pending[jobId]?.complete(Unit)
    }

    private fun startWait(jobId: String): CompletableDeferred<Unit> {
        val acknowledged = CompletableDeferred<Unit>()
        pending[jobId] = acknowledged
        val startMicros = clock.nowMicros()
        scope.launch {
            awaitAcknowledgement(jobId, acknowledged, startMicros + maxWaitMicros)
            log.debug(
                "{}: the cancellation is in effect after {} ms, acknowledged by a leader: {}",
                jobId,
                (clock.nowMicros() - startMicros) / MICROS_PER_MILLI,
                acknowledged.isCompleted,
            )
            inEffect[jobId] = Unit
            pending.remove(jobId)
            acknowledged.complete(Unit)
        }
        return acknowledged
    }

    private suspend fun awaitAcknowledgement(jobId: String, acknowledged: CompletableDeferred<Unit>, deadlineMicros: Long) {
        while (!acknowledged.isCompleted) {
            val remainingMicros = deadlineMicros - clock.nowMicros()
            if (remainingMicros <= 0) return
            requestAcknowledgement(jobId)
            val waitMillis = minOf(REQUEST_INTERVAL_MICROS, remainingMicros) / MICROS_PER_MILLI + 1
            withTimeoutOrNull(waitMillis) { acknowledged.await() }
        }
    }

    private companion object {
        const val REQUEST_INTERVAL_MICROS = 500_000L

        /** Bounds the memory; the cancellation of a job that is forgotten is acknowledged again. */
        const val MAX_JOBS_IN_EFFECT = 5_000
    }
}

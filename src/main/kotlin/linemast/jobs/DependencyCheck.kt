package linemast.jobs

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import linemast.domain.JobOutcome
import linemast.leadership.CancellationBarrier
import linemast.store.StoreException
import linemast.time.MICROS_PER_MILLI

/**
 * Checks whether a job depends, directly or transitively, on a cancelled job, whatever the number and depth of its
 * dependencies.
 *
 * A job that depends on a cancelled one cannot have started, so any controller may cancel it without the leader. The
 * dependencies of a job never change, and an open outcome is cached for a limited time only. So every check that begins at
 * least that time after a cancellation was confirmed finds the cancellation.
 */
internal class DependencyCheck(
    private val outcomes: OutcomeReader,
    private val scope: CoroutineScope,
    private val timeoutMicros: Long,
    private val cancellationBarrier: CancellationBarrier,
) {
    private val runningChecks = HashMap<Set<String>, CompletableDeferred<Result<Boolean>>>()

    /**
     * Whether one of [dependencies] or of their transitive dependencies is cancelled. If so, that cancellation is in effect: the
     * response about the dependent job tells its user of it too.
     *
     * Concurrent calls with the same dependencies share one check. A caller gets a [StoreException] when the check takes longer
     * than a user waits; the check continues, and the next call uses the outcomes that were read in the meantime.
     */
    suspend fun dependsOnCancelled(dependencies: Collection<String>): Boolean {
        val key = dependencies.toSet()
        val check = runningChecks[key] ?: startCheck(key)
        val result = withTimeoutOrNull(CALLER_TIMEOUT_MILLIS) { check.await() }
        return result?.getOrThrow()
            ?: throw StoreException.ReadAborted("the dependencies of the job are still being read")
    }

    private fun startCheck(dependencies: Set<String>): CompletableDeferred<Result<Boolean>> {
        val check = CompletableDeferred<Result<Boolean>>()
        runningChecks[dependencies] = check
        scope.launch {
            val result = sharedStoreResult { findCancelledWithinTimeout(dependencies) }
            runningChecks.remove(dependencies)
            check.complete(result)
        }
        return check
    }

    private suspend fun findCancelledWithinTimeout(dependencies: Collection<String>): Boolean = try {
        withTimeout(timeoutMicros / MICROS_PER_MILLI) { findCancelled(dependencies) }
    } catch (e: TimeoutCancellationException) {
        throw StoreException.ReadAborted("the dependencies of the job could not be read before the timeout")
    }

    /** Searches the dependency graph breadth-first, with one bulk read per level. */
    private suspend fun findCancelled(dependencies: Collection<String>): Boolean {
        val reader = BulkOutcomeReader(outcomes)
        val visited = HashSet(dependencies)
        var level: Collection<String> = dependencies
        while (level.isNotEmpty()) {
            val records = reader.read(level)
            val cancelled = records.entries.find { it.value.outcome == JobOutcome.CANCELLED }
            if (cancelled != null) {
                cancellationBarrier.awaitEffect(cancelled.key)
                return true
            }
            level = records.values.filter { it.outcome == JobOutcome.OPEN }.flatMap { it.dependencies }.filter(visited::add)
        }
        return false
    }

    private companion object {
        const val CALLER_TIMEOUT_MILLIS = 1_500L
    }
}

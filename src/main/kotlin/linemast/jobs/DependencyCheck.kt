package linemast.jobs

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import linemast.domain.JobOutcome
import linemast.store.StoreException
import linemast.time.MICROS_PER_MILLI

/**
 * Finds out whether a job depends on a cancelled one, directly or transitively, whatever the number and depth of its
 * dependencies.
 *
 * Such a job cannot have started, so any controller may cancel it too, without the leader. The dependencies of a job never
 * change, and an open outcome is cached for a bounded time; so a cancellation is found by every check that begins that
 * long after it was confirmed.
 */
internal class DependencyCheck(private val outcomes: OutcomeReader, private val scope: CoroutineScope, private val timeoutMicros: Long) {
    private val runningChecks = HashMap<Set<String>, CompletableDeferred<Result<Boolean>>>()

    /**
     * Whether one of [dependencies], or of their transitive dependencies, is cancelled.
     *
     * One check of the same dependencies runs at a time, and goes on when its callers leave: a caller gets a
     * [StoreException] when the result takes longer than users wait, and the next call uses what has been read by then.
     */
    suspend fun dependsOnCancelled(dependencies: Collection<String>): Boolean {
        val key = dependencies.toSet()
        val check = runningChecks[key] ?: startCheck(key)
        val result = withTimeoutOrNull(CALLER_TIMEOUT_MILLIS) { check.await() }
        return result?.getOrThrow() ?: throw StoreException.ReadAborted("the dependencies are still being read")
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
        throw StoreException.ReadAborted("the dependencies could not be read in time")
    }

    /** A breadth-first search through the dependency graph, one level a read. */
    private suspend fun findCancelled(dependencies: Collection<String>): Boolean {
        val reader = BulkOutcomeReader(outcomes)
        val visited = HashSet(dependencies)
        var level: Collection<String> = dependencies
        while (level.isNotEmpty()) {
            val records = reader.read(level).values
            if (records.any { it.outcome == JobOutcome.CANCELLED }) return true
            level = records.filter { it.outcome == JobOutcome.OPEN }.flatMap { it.dependencies }.filter(visited::add)
        }
        return false
    }

    private companion object {
        const val CALLER_TIMEOUT_MILLIS = 1_500L
    }
}

package linemast.jobs

import kotlinx.coroutines.CancellationException
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
 * Tells whether a job depends on a cancelled one, directly or through others, whatever their number and depth.
 *
 * Such a job cannot have started, so any controller may cancel it too, without the leader. The dependencies of a job never
 * change, and an open verdict counts for [OutcomeReader.recent]'s time; so a cancellation is found by every check that begins
 * that long after it was confirmed. After [MAX_SINGLE_READS] reads of single records the check lists all open jobs instead:
 * neither a long chain nor a wide fan takes a call for each job.
 */
internal class DependencyCheck(private val outcomes: OutcomeReader, private val scope: CoroutineScope, private val timeoutMicros: Long) {
    private val running = HashMap<Set<String>, CompletableDeferred<Result<Boolean>>>()

    /**
     * Whether one of [dependencies], or of what they depend on, is cancelled.
     *
     * One check of the same dependencies runs at a time, and goes on when its callers leave: it throws [StoreException] when
     * the answer takes longer than users wait, and the next call finds what has been read by then.
     */
    suspend fun dependsOnCancelled(dependencies: Collection<String>): Boolean {
        val key = dependencies.toSet()
        val check = running[key] ?: start(key)
        val result = withTimeoutOrNull(CALLER_PATIENCE_MILLIS) { check.await() }
        return result?.getOrThrow() ?: throw StoreException.ReadAborted("the dependencies are still being read")
    }

    private fun start(dependencies: Set<String>): CompletableDeferred<Result<Boolean>> {
        val check = CompletableDeferred<Result<Boolean>>()
        running[dependencies] = check
        scope.launch {
            val result = try {
                Result.success(walk(dependencies))
            } catch (e: StoreException) {
                Result.failure(e)
            } catch (e: CancellationException) {
                // The controller stops; that must not cancel those who only wait for this check.
                Result.failure(StoreException.ReadAborted("stopping"))
            }
            running.remove(dependencies)
            check.complete(result)
        }
        return check
    }

    private suspend fun walk(dependencies: Collection<String>): Boolean = try {
        withTimeout(timeoutMicros / MICROS_PER_MILLI) { findCancelled(dependencies) }
    } catch (e: TimeoutCancellationException) {
        throw StoreException.ReadAborted("the dependencies could not be read in time")
    }

    private suspend fun findCancelled(dependencies: Collection<String>): Boolean {
        val seen = HashSet(dependencies)
        var level: Collection<String> = dependencies
        var singleReads = 0
        var hasListed = false
        while (level.isNotEmpty()) {
            singleReads += level.count { !outcomes.hasRecent(it) }
            if (singleReads > MAX_SINGLE_READS && !hasListed) {
                outcomes.listOpen()
                hasListed = true
            }
            val records = outcomes.recent(level).values
            if (records.any { it.outcome == JobOutcome.CANCELLED }) return true
            level = records.filter { it.outcome == JobOutcome.OPEN }.flatMap { it.dependencies }.filter(seen::add)
        }
        return false
    }

    private companion object {
        const val MAX_SINGLE_READS = 8
        const val CALLER_PATIENCE_MILLIS = 1_500L
    }
}

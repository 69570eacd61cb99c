package linemast.control

import kotlinx.coroutines.launch
import linemast.jobs.JobKeys
import linemast.leadership.CancellationFreshness
import linemast.store.EntryPage
import linemast.store.KeyChange
import linemast.store.RetryPolicy
import linemast.store.WatchResult
import linemast.store.listAll
import linemast.time.SECOND_MICROS
import org.slf4j.LoggerFactory

/** Watches the store for changes of jobs and applies them to the leader's state. */
internal class JobWatcher(
    private val term: LeaderTerm,
    private val openJobUpdates: OpenJobUpdates,
    private val dependencyCoordinator: DependencyCoordinator,
    private val cancellationFreshness: CancellationFreshness,
) {
    private val log = LoggerFactory.getLogger(JobWatcher::class.java)

    /** A key prefix to watch, and how changes below it are applied. */
    private interface Subscription {
        val prefix: String
        val waitMicros: Long

        fun applyChanges(changes: List<KeyChange>)

        /** Applies all entries of [page], since changes were missed. */
        fun applyAll(page: EntryPage)

        /** Records that everything that the store held at [revision], and when the call was sent at [sentMicros], has been applied. */
        fun recordRefresh(sentMicros: Long, revision: Long)
    }

    private val openJobs = object : Subscription {
        override val prefix = JobKeys.OPEN_PREFIX
        override val waitMicros = OPEN_WATCH_MICROS

        override fun applyChanges(changes: List<KeyChange>) = changes.forEach(openJobUpdates::apply)

        override fun applyAll(page: EntryPage) = openJobUpdates.applyAll(page)

        override fun recordRefresh(sentMicros: Long, revision: Long) {
            openJobUpdates.recordAppliedRevision(revision)
            cancellationFreshness.recordRefresh(sentMicros)
        }
    }

    private val blockedJobs = object : Subscription {
        override val prefix = JobKeys.BLOCKED_PREFIX
        override val waitMicros = BLOCKED_WATCH_MICROS

        override fun applyChanges(changes: List<KeyChange>) = changes.forEach(dependencyCoordinator::apply)

        override fun applyAll(page: EntryPage) = dependencyCoordinator.reload(page.entries)

        override fun recordRefresh(sentMicros: Long, revision: Long) = Unit
    }

    /** Starts watching, in the term's scope, for changes after [revisions]. */
    fun start(revisions: JobRevisions) {
        term.scope.launch { watch(openJobs, revisions.open) }
        term.scope.launch { watch(blockedJobs, revisions.blocked) }
    }

    private suspend fun watch(subscription: Subscription, firstRevision: Long) {
        var revision = firstRevision
        RETRY.repeatForever(log, "watching ${subscription.prefix}") { revision = watchOnce(subscription, revision) }
    }

    /** Waits for changes after [revision] and enqueues them; returns the revision from which to continue. */
    private suspend fun watchOnce(subscription: Subscription, revision: Long): Long {
        val sentMicros = term.clock.nowMicros()
        return when (val result = term.store.watch(subscription.prefix, revision, subscription.waitMicros)) {
            is WatchResult.Changes -> {
                term.eventLoop.enqueue {
                    subscription.applyChanges(result.changes)
                    subscription.recordRefresh(sentMicros, result.revision)
                }
                maxOf(revision, result.revision)
            }
            WatchResult.TooOld -> {
                val page = term.store.listAll(subscription.prefix)
                term.eventLoop.enqueue {
                    subscription.applyAll(page)
                    subscription.recordRefresh(sentMicros, page.revision)
                }
                page.revision
            }
        }
    }

    private companion object {
        val RETRY = RetryPolicy(delayMillis = 250)

        /** Short, since the leader knows cancellations only as of when the last watch that got a response was sent. */
        const val OPEN_WATCH_MICROS = SECOND_MICROS
        const val BLOCKED_WATCH_MICROS = 10 * SECOND_MICROS
    }
}

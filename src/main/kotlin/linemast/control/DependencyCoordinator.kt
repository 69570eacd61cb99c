package linemast.control

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import linemast.domain.Job
import linemast.domain.JobOutcome
import linemast.domain.JobRecord
import linemast.domain.OutcomeRecord
import linemast.jobs.JobKeys
import linemast.jobs.JobRecordCodec
import linemast.planning.WaitingStage
import linemast.scheduling.Cluster
import linemast.serialization.MalformedException
import linemast.store.Entry
import linemast.store.KeyChange
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.Write
import linemast.store.storeResultOrNull
import org.slf4j.LoggerFactory

/** Brings what [DependencyGraph] decides into the store, and what the store says of waiting jobs to [DependencyGraph]. */
internal class DependencyCoordinator(private val term: LeaderTerm, private val cluster: Cluster) : JobOutcomeListener {
    private val log = LoggerFactory.getLogger(DependencyCoordinator::class.java)
    private val graph = DependencyGraph()

    /** A cancelled pipeline may have thousands of jobs: their commits take turns, so that none runs out of patience for a token. */
    private val cancellations = Semaphore(MAX_CONCURRENT_CANCELLATIONS)
    private var propagatedMicros = Long.MIN_VALUE

    /** Whether anything was asked of jobs that has to be taken back when nothing waits any more. */
    private var hasPropagatedNeeds = false

    fun load(entries: List<Entry>) = entries.forEach { graph.put(JobRecordCodec.decodeJob(it.value), it.revision) }

    /** All that waits now, after changes were missed. */
    fun reload(entries: List<Entry>) {
        graph.retain(entries.mapTo(HashSet()) { it.key.removePrefix(JobKeys.WAITING_PREFIX) })
        load(entries)
    }

    fun changed(change: KeyChange) {
        val value = change.value
        if (value == null) return graph.drop(change.key.removePrefix(JobKeys.WAITING_PREFIX))
        try {
            graph.put(JobRecordCodec.decodeJob(value), change.revision)
        } catch (e: MalformedException) {
            log.error("{}: malformed record: {}", change.key, e.message)
        }
    }

    override fun jobEnded(id: String, outcome: JobOutcome) = outcomeKnown(id, outcome)

    private fun outcomeKnown(id: String, outcome: JobOutcome) {
        graph.learned(id, outcome)
        step()
    }

    fun step() {
        if (graph.isEmpty && !hasPropagatedNeeds) return
        val jobs = cluster.jobs
        val step = graph.step({ id -> jobs[id]?.let { !it.finished && !it.cancelled } ?: false }, term.clock.nowMicros())
        step.released.forEach(::release)
        step.cancelled.chunked(term.limits.maxTxnOps / WRITES_PER_CANCELLATION).forEach(::cancel)
        step.toRead.forEach(::readOutcome)
        propagateNeeds()
    }

    /** priorities and deadlines of waiting jobs, to those that they need. */
    private fun propagateNeeds() {
        if (propagatedMicros != Long.MIN_VALUE && term.clock.nowMicros() - propagatedMicros < PROPAGATE_MICROS) return
        propagatedMicros = term.clock.nowMicros()
        hasPropagatedNeeds = !graph.isEmpty
        val times = cluster.times
        val needs = graph.needs(::spanMicros)
        cluster.jobs.values.forEach { it.applyNeed(needs[it.id]) }
        cluster.waitingStages = graph.predicted(::remainingMicros, ::spanMicros).map { stage ->
            val record = stage.job.record
            val job = Job(record.released(term.wallMicros() + stage.startsInMicros), stage.job.revision, inherited = false)
            job.applyNeed(needs[job.id])
            WaitingStage(job, record.spec.dependencies.toSet(), stage.startsInMicros)
        }
    }

    /** How long a job that has not begun will take, from the end of the last job that it needs. */
    private fun spanMicros(record: JobRecord): Long = cluster.times.estimateMicros(record.spec) + HANDOVER_MICROS

    private fun Job.applyNeed(need: InheritedRequirement?) {
        priority = minOf(spec.priority, need?.priority ?: spec.priority)
        neededByWallMicros = need?.byWallMicros
    }

    /** How long a job that is under way still takes; null for one that is not. */
    private fun remainingMicros(id: String): Long? {
        val job = cluster.jobs[id]?.takeIf { !it.cancelled } ?: return null
        if (job.pendingCount > 0 && job.placements.isEmpty()) return null
        val whole = cluster.times.estimateMicros(job)
        val now = term.clock.nowMicros()
        val longest = job.placements.maxOfOrNull { if (it.isRunning) whole - (now - it.runningSinceMicros) else whole } ?: 0L
        return maxOf(longest, if (job.pendingCount > 0) whole else 0L) + HANDOVER_MICROS
    }

    private fun release(job: WaitingJob) {
        term.scope.launch {
            val record = job.record.released(term.wallMicros()).within(cluster.types.values)
            val key = JobKeys.waiting(job.id)
            val writes = listOf(Write.Put(JobKeys.open(job.id), JobRecordCodec.encode(record)), Write.Delete(key))
            val result =
                storeResultOrNull(log) { term.commit(listOf(Precondition(key, job.revision)), writes, RequestPriority.HIGH) }
            settle(listOf(job), result) { revision ->
                log.info("{}: released: all that it depends on is done", job.id)
                cluster.putJob(record, revision)
            }
        }
    }

    private fun cancel(jobs: List<WaitingJob>) {
        term.scope.launch {
            val preconditions = jobs.map { Precondition(JobKeys.waiting(it.id), it.revision) }
            val writes = jobs.flatMap {
                val outcome = OutcomeRecord(JobOutcome.CANCELLED, it.record.spec.taskCount)
                listOf(Write.Put(JobKeys.outcome(it.id), JobRecordCodec.encode(outcome)), Write.Delete(JobKeys.waiting(it.id)))
            }
            val result = cancellations.withPermit {
                storeResultOrNull(log) { term.commit(preconditions, writes, RequestPriority.HIGH) }
            }
            settle(jobs, result) { log.info("{}: cancelled with a job that they need", jobs.map { it.id }) }
        }
    }

    private suspend fun settle(jobs: List<WaitingJob>, result: TermCommitResult?, applied: (Long) -> Unit) {
        if (result is TermCommitResult.Applied) {
            return term.loop.run {
                jobs.forEach { graph.drop(it.id) }
                applied(result.revision)
            }
        }
        if (result == TermCommitResult.LeadershipLost) return term.lease.end()
        // One whose record is not what it was taken for is over, or a commit without an answer has been carried out.
        val gone = (result as? TermCommitResult.Conflict)?.failedKeys.orEmpty().map { it.removePrefix(JobKeys.WAITING_PREFIX) }
        delay(RETRY_MILLIS)
        term.loop.run {
            gone.forEach(graph::drop)
            graph.retry(jobs.filter { it.id !in gone })
        }
    }

    private fun readOutcome(id: String) {
        term.scope.launch {
            val entry = storeResultOrNull(log) { term.store.get(JobKeys.outcome(id)) } ?: return@launch
            val outcome = storeResultOrNull(log) { JobRecordCodec.decodeOutcome(entry.value).outcome } ?: return@launch
            term.loop.run { outcomeKnown(id, outcome) }
        }
    }

    private companion object {
        const val RETRY_MILLIS = 250L
        const val WRITES_PER_CANCELLATION = 2
        const val MAX_CONCURRENT_CANCELLATIONS = 3
        const val PROPAGATE_MICROS = 1_000_000L

        /** From the end of a job to the start of the next: two reports and an image. */
        const val HANDOVER_MICROS = 4_000_000L
    }
}

package linemast.control.dependencies

import linemast.domain.JobOutcome
import linemast.domain.JobRecord

/** Limits the work of one traversal of the graph, whatever graph users submit. */
internal const val MAX_VISITS = 20_000

/**
 * The DAG of blocked jobs: decides which of them to release, and which to cancel because one of their dependencies was cancelled.
 *
 * The class does no I/O: callers pass in the stored records and outcomes, and carry out the returned [Actions]. An outcome
 * counts only once it was read from the store or committed to it, so that no job is released before all its dependencies
 * are done in the store; a new leader starts from what it reads. Only a cancellation counts earlier: a job that is to be
 * cancelled counts as cancelled for its own dependents at once. No function recurses, since a chain of dependencies may be long.
 */
class DependencyGraph {
    /**
     * The commits and reads that are due.
     *
     * @property toRelease jobs to release: all their dependencies are done.
     * @property toCancel jobs to cancel: one of their dependencies was cancelled.
     * @property outcomesToRead ids of jobs whose outcome has to be read from the store.
     */
    class Actions(val toRelease: List<BlockedJob>, val toCancel: List<BlockedJob>, val outcomesToRead: List<String>)

    private val blocked = LinkedHashMap<String, BlockedJob>()

    /** The blocked jobs by the ids of their dependencies. */
    private val dependentsById = LinkedHashMap<String, LinkedHashSet<BlockedJob>>()

    /** Terminal outcomes of dependencies, by job id. */
    private val outcomes = HashMap<String, JobOutcome>()

    /** Earliest time of the next read of a dependency's outcome, by job id. */
    private val nextReadMicros = HashMap<String, Long>()

    /** Blocked jobs whose dependencies are all done. */
    private val readyToRelease = LinkedHashSet<BlockedJob>()

    /** Blocked jobs with a cancelled dependency. */
    private val toCancel = LinkedHashSet<BlockedJob>()

    /** Whether no job is blocked. */
    val isEmpty: Boolean get() = blocked.isEmpty()

    /** Adds or replaces a blocked job by its stored [record] as of [revision]; ignores a revision that is not newer than the known one. */
    fun put(record: JobRecord, revision: Long) {
        val id = record.spec.id
        if ((blocked[id]?.revision ?: 0L) >= revision) return
        remove(id)
        val job = BlockedJob(record, revision)
        blocked[id] = job
        for (dependency in job.dependencies) {
            dependentsById.getOrPut(dependency) { LinkedHashSet() } += job
            outcomes[dependency]?.let { applyOutcome(job, dependency, it) }
        }
        if (job in toCancel) {
            recordOutcome(id, JobOutcome.CANCELLED)
        } else if (job.unmetDependencies.isEmpty()) {
            readyToRelease += job
        }
    }

    /** Removes all blocked jobs whose ids are not in [ids]. */
    fun retain(ids: Set<String>) = blocked.keys.filter { it !in ids }.forEach(::remove)

    /** Removes a job that is not blocked any more, since it was released or cancelled. */
    fun remove(id: String) {
        val job = blocked.remove(id) ?: return
        readyToRelease -= job
        toCancel -= job
        job.dependencies.forEach { removeDependent(it, job) }
    }

    private fun removeDependent(dependency: String, job: BlockedJob) {
        val remaining = dependentsById[dependency] ?: return
        remaining -= job
        if (remaining.isNotEmpty()) return
        dependentsById -= dependency
        outcomes -= dependency
        nextReadMicros -= dependency
    }

    /** Records that the store holds [outcome] for the job [id]; ignores an outcome that is not terminal, which is read again. */
    fun recordOutcome(id: String, outcome: JobOutcome) {
        if (!outcome.isTerminal || id !in dependentsById) return
        outcomes[id] = outcome
        val queue = ArrayDeque(listOf(id))
        while (queue.isNotEmpty()) queue += applyOutcomeToDependents(queue.removeFirst())
    }

    /**
     * Applies the outcome of the job [id] to its dependents.
     *
     * Returns the ids of those that are to be cancelled for it and have dependents themselves, for which they count as
     * cancelled from now on.
     */
    private fun applyOutcomeToDependents(id: String): List<String> {
        val outcome = outcomes[id] ?: return emptyList()
        val cancelled = ArrayList<String>()
        for (job in dependentsById[id].orEmpty()) {
            applyOutcome(job, id, outcome)
            if (job in toCancel && job.id in dependentsById && outcomes.put(job.id, JobOutcome.CANCELLED) == null) cancelled += job.id
        }
        return cancelled
    }

    private fun applyOutcome(job: BlockedJob, dependency: String, outcome: JobOutcome) {
        if (outcome == JobOutcome.CANCELLED) {
            readyToRelease -= job
            toCancel += job
        } else if (job.unmetDependencies.remove(dependency) && job.unmetDependencies.isEmpty() && job !in toCancel) {
            readyToRelease += job
        }
    }

    /** Returns what is to be committed and read now; [isActive] returns whether a job is known to be neither done nor cancelled. */
    fun nextActions(isActive: (String) -> Boolean, nowMicros: Long): Actions {
        val toRelease = readyToRelease.filter { !it.isBeingCommitted }
        val newCancellations = toCancel.filter { !it.isBeingCommitted }
        (toRelease + newCancellations).forEach { it.isBeingCommitted = true }
        val outcomesToRead =
            dependentsById.keys.filter { isOutcomeMissing(it, isActive) && isReadDue(it, nowMicros) }.take(MAX_OUTCOME_READS)
        outcomesToRead.forEach { nextReadMicros[it] = nowMicros + READ_INTERVAL_MICROS }
        return Actions(toRelease, newCancellations, outcomesToRead)
    }

    private fun isOutcomeMissing(id: String, isActive: (String) -> Boolean) = id !in outcomes && id !in blocked && !isActive(id)

    private fun isReadDue(id: String, nowMicros: Long): Boolean = nextReadMicros[id]?.let { nowMicros >= it } ?: true

    /** Records that the commit of [jobs] was refused or got no response, so that [nextActions] returns them again. */
    fun markCommitFailed(jobs: List<BlockedJob>) = jobs.forEach { it.isBeingCommitted = false }

    /** Returns the requirement on each job that blocked jobs depend on, by job id; [durationMicros] estimates how long a job takes. */
    fun inheritedRequirements(durationMicros: (JobRecord) -> Long): Map<String, InheritedRequirement> =
        RequirementPropagation(blocked, durationMicros).propagate()

    /**
     * Returns the blocked jobs whose unmet dependencies are all running, or blocked and predicted themselves; dependencies
     * precede their dependents.
     *
     * [remainingMicros] estimates how long a running job still takes, [durationMicros] how long a blocked job will take.
     */
    fun predictedStarts(remainingMicros: (String) -> Long?, durationMicros: (JobRecord) -> Long): List<PredictedStart> {
        val prediction = StartPrediction(::isAwaitingDependencies, { dependentsById[it].orEmpty() }, remainingMicros, durationMicros)
        return prediction.predict(blocked.values)
    }

    private fun isAwaitingDependencies(job: BlockedJob) = job !in toCancel && job.unmetDependencies.isNotEmpty()

    private companion object {
        const val READ_INTERVAL_MICROS = 1_500_000L
        const val MAX_OUTCOME_READS = 20
    }
}

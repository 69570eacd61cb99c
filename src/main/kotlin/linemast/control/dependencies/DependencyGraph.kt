package linemast.control.dependencies

import linemast.domain.JobOutcome
import linemast.domain.JobRecord

/** Bounds the work of one walk over the graph, whatever users submit. */
internal const val MAX_VISITS = 20_000

/**
 * The DAG of blocked jobs: which of them are released, and which are cancelled with one of their dependencies.
 *
 * Pure: what the store holds goes in, what is to be committed comes out. An outcome counts only as read from the store or
 * committed to it, so that no job is released before the store says that all its dependencies are done; a new leader begins
 * with what it reads. Nothing here recurses, since a chain of dependencies may be long.
 */
class DependencyGraph {
    /**
     * What is to be done next.
     *
     * @property toRelease jobs to release, since all their dependencies are done.
     * @property toCancel jobs to cancel, since one of their dependencies was cancelled.
     * @property outcomesToRead ids of jobs whose outcome has to be read from the store.
     */
    class Actions(val toRelease: List<BlockedJob>, val toCancel: List<BlockedJob>, val outcomesToRead: List<String>)

    private val blocked = LinkedHashMap<String, BlockedJob>()

    /** The blocked jobs by the ids of their dependencies. */
    private val dependentsById = LinkedHashMap<String, LinkedHashSet<BlockedJob>>()

    /** Terminal outcomes of dependencies. */
    private val outcomes = HashMap<String, JobOutcome>()
    private val nextReadMicros = HashMap<String, Long>()

    /** Jobs whose dependencies are all done, and which are not released yet. */
    private val readyToRelease = LinkedHashSet<BlockedJob>()

    /** Jobs with a cancelled dependency, and which are not cancelled yet. */
    private val toCancel = LinkedHashSet<BlockedJob>()

    /** Whether no job is blocked. */
    val isEmpty: Boolean get() = blocked.isEmpty()

    /** Adds or replaces a blocked job as the store holds it at [revision]; an older revision than the known one is ignored. */
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

    /** Removes all blocked jobs but [ids]. */
    fun retain(ids: Set<String>) = blocked.keys.filter { it !in ids }.forEach(::remove)

    /** Removes a job that is not blocked any more: released, or cancelled. */
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

    /** The store holds [outcome] for the job [id]; one that is not terminal will be read again. */
    fun recordOutcome(id: String, outcome: JobOutcome) {
        if (!outcome.isTerminal || id !in dependentsById) return
        outcomes[id] = outcome
        val queue = ArrayDeque(listOf(id))
        while (queue.isNotEmpty()) queue += applyOutcomeToDependents(queue.removeFirst())
    }

    /** Ids of the dependents that are cancelled by that and have dependents themselves: as good as cancelled for these. */
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

    /** What is to be committed and read now; [isActive] tells the jobs that are known to be neither done nor cancelled. */
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

    /** The commit of [jobs] was refused or gave no answer: the next step holds them again. */
    fun markCommitFailed(jobs: List<BlockedJob>) = jobs.forEach { it.isBeingCommitted = false }

    /** What is required of each job that blocked jobs depend on, by its id; [durationMicros] tells how long a job takes. */
    fun inheritedRequirements(durationMicros: (JobRecord) -> Long): Map<String, InheritedRequirement> =
        RequirementPropagation(blocked, durationMicros).propagate()

    /**
     * The blocked jobs whose unmet dependencies all run, or are blocked and predicted themselves; dependencies first.
     *
     * [remainingMicros] tells how long a running job still takes, [durationMicros] how long a blocked one will take.
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

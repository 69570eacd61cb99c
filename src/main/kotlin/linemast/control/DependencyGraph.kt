package linemast.control

import linemast.domain.JobOutcome
import linemast.domain.JobPriority
import linemast.domain.JobRecord

/** A job that waits for others, as the store holds it. */
class WaitingJob(val record: JobRecord, val revision: Long) {
    val id: String get() = record.spec.id

    /** Those it waits for of which the store has not said yet that they are done. */
    internal val open = LinkedHashSet(record.spec.dependencies)
    internal var isBeingCommitted = false
}

/** What the jobs that need a job ask of it: to be treated as that urgent, and to end by then if it can. */
class InheritedRequirement(val priority: JobPriority, val byWallMicros: Long?)

/**
 * The jobs that wait for others: which of them may go, and which are cancelled with one that they need.
 *
 * Pure: what is known of the store goes in, what is to be committed comes out. A verdict counts only as read from the
 * store or committed to it, so that no job goes before the store says that all it needs are done; a new leader begins from
 * what it reads. Nothing here follows a chain on the stack.
 */
class DependencyGraph {
    /** Jobs to release, jobs to cancel, and jobs whose verdict has to be read. */
    class Step(val released: List<WaitingJob>, val cancelled: List<WaitingJob>, val toRead: List<String>)

    private val waiting = LinkedHashMap<String, WaitingJob>()

    /** The waiting jobs by what they wait for. */
    private val dependents = LinkedHashMap<String, LinkedHashSet<WaitingJob>>()
    private val outcomes = HashMap<String, JobOutcome>()
    private val nextReadMicros = HashMap<String, Long>()
    private val ready = LinkedHashSet<WaitingJob>()
    private val toCancel = LinkedHashSet<WaitingJob>()

    val isEmpty: Boolean get() = waiting.isEmpty()

    /** Takes a waiting job as the store holds it at [revision]. */
    fun put(record: JobRecord, revision: Long) {
        val id = record.spec.id
        if ((waiting[id]?.revision ?: 0L) >= revision) return
        drop(id)
        val job = WaitingJob(record, revision)
        waiting[id] = job
        for (needed in record.spec.dependencies) {
            dependents.getOrPut(needed) { LinkedHashSet() } += job
            outcomes[needed]?.let { take(job, needed, it) }
        }
        if (job in toCancel) {
            learned(id, JobOutcome.CANCELLED)
        } else if (job.open.isEmpty()) {
            ready += job
        }
    }

    /** Drops all waiting jobs but [ids]. */
    fun retain(ids: Set<String>) = waiting.keys.filter { it !in ids }.forEach(::drop)

    /** No longer waiting: released, or cancelled. */
    fun drop(id: String) {
        val job = waiting.remove(id) ?: return
        ready -= job
        toCancel -= job
        for (needed in job.record.spec.dependencies) {
            val others = dependents[needed] ?: continue
            others -= job
            if (others.isNotEmpty()) continue
            dependents -= needed
            outcomes -= needed
            nextReadMicros -= needed
        }
    }

    /** The store holds this verdict of [id]; one that is not final is asked for again. */
    fun learned(id: String, outcome: JobOutcome) {
        if (!outcome.isTerminal || id !in dependents) return
        outcomes[id] = outcome
        val changed = ArrayDeque(listOf(id))
        while (changed.isNotEmpty()) {
            val over = changed.removeFirst()
            for (job in dependents[over].orEmpty()) {
                take(job, over, outcomes[over] ?: continue)
                // A job that is to be cancelled is as good as cancelled to those that need it.
                if (job in toCancel && job.id in dependents && outcomes.put(job.id, JobOutcome.CANCELLED) == null) changed += job.id
            }
        }
    }

    private fun take(job: WaitingJob, needed: String, outcome: JobOutcome) {
        if (outcome == JobOutcome.CANCELLED) {
            ready -= job
            toCancel += job
        } else if (job.open.remove(needed) && job.open.isEmpty() && job !in toCancel) {
            ready += job
        }
    }

    /** What is to be committed and asked now; [isLive] tells the jobs that are known to be neither done nor cancelled. */
    fun step(isLive: (String) -> Boolean, nowMicros: Long): Step {
        val released = ready.filter { !it.isBeingCommitted }
        val cancelled = toCancel.filter { !it.isBeingCommitted }
        (released + cancelled).forEach { it.isBeingCommitted = true }
        val toRead = dependents.keys.filter { id ->
            id !in outcomes && id !in waiting && !isLive(id) && nowMicros >= (nextReadMicros[id] ?: Long.MIN_VALUE)
        }.take(MAX_OUTCOME_READS)
        toRead.forEach { nextReadMicros[it] = nowMicros + READ_AGAIN_MICROS }
        return Step(released, cancelled, toRead)
    }

    /** The commit did not go through, or gave no answer: it is tried again. */
    fun retry(jobs: List<WaitingJob>) = jobs.forEach { it.isBeingCommitted = false }

    /**
     * What is asked of each job that others wait for. A deadline passes back from the last job of a pipeline: what it
     * needs has to end by the time at which it must start, going by how long jobs take ([spanMicros]).
     */
    fun needs(spanMicros: (JobRecord) -> Long): Map<String, InheritedRequirement> {
        val needs = HashMap<String, InheritedRequirement>()
        val next = ArrayDeque(waiting.values)
        var visits = 0
        while (next.isNotEmpty() && visits++ < MAX_VISITS) {
            val job = next.removeFirst()
            val need = merged(ownNeed(job.record), needs[job.id])
            val here = InheritedRequirement(need.priority, need.byWallMicros?.minus(spanMicros(job.record)))
            for (id in job.record.spec.dependencies) {
                val before = needs[id]
                val after = merged(here, before)
                if (before != null && after.priority == before.priority && after.byWallMicros == before.byWallMicros) continue
                needs[id] = after
                waiting[id]?.let { next += it }
            }
        }
        return needs
    }

    /** A waiting job of which it can be told when the last job that it needs ends. */
    class Predicted(val job: WaitingJob, val startsInMicros: Long)

    /**
     * The waiting jobs of which all that they need is under way, or waits itself and is predicted; parents before children.
     *
     * [remainingMicros] tells how long a job that is under way still takes, [spanMicros] how long a waiting one will take.
     */
    fun predicted(remainingMicros: (String) -> Long?, spanMicros: (JobRecord) -> Long): List<Predicted> {
        val predicted = LinkedHashMap<String, Predicted>()
        val next = ArrayDeque(waiting.values)
        var visits = 0
        while (next.isNotEmpty() && visits++ < MAX_VISITS) {
            val job = next.removeFirst()
            if (job in toCancel || job.open.isEmpty() || job.id in predicted) continue
            val ends = job.open.map { id ->
                predicted[id]?.let { it.startsInMicros + spanMicros(it.job.record) } ?: remainingMicros(id)
            }
            val last = ends.maxOf { it ?: continue }
            predicted[job.id] = Predicted(job, last)
            dependents[job.id]?.let { next += it }
        }
        return predicted.values.toList()
    }

    private fun ownNeed(record: JobRecord) = InheritedRequirement(
        record.spec.priority,
        record.spec.deadlineMicros?.let {
            record.acceptedWallMicros + it
        },
    )

    private fun merged(one: InheritedRequirement, other: InheritedRequirement?): InheritedRequirement = if (other == null) {
        one
    } else {
        InheritedRequirement(
            minOf(one.priority, other.priority),
            listOfNotNull(one.byWallMicros, other.byWallMicros).minOrNull(),
        )
    }

    private companion object {
        const val READ_AGAIN_MICROS = 1_500_000L
        const val MAX_OUTCOME_READS = 20
        const val MAX_VISITS = 20_000
    }
}

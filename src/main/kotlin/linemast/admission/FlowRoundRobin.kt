package linemast.admission

import linemast.domain.Job

/**
 * Chooses among jobs that have waited long without a start, round robin by flow. The leader's scheduler uses it.
 *
 * The flow that was served longest ago goes first, with a few jobs each: however many jobs a team submits, a waiting job of
 * another flow starts after a few of each flow.
 */
class FlowRoundRobin(private val flows: FlowClassifier) {
    private val lastTurns = HashMap<Flow, Long>()
    private var turns = 0L

    /** The jobs among [waiting] that go next, in order. [waiting] holds the jobs of each flow in the order in which they go. */
    fun selectNext(waiting: List<Job>): List<Job> {
        val byFlow = waiting.groupBy { flows.flowOf(it.spec) }
        lastTurns.keys.retainAll(byFlow.keys)
        val leastRecentFirst = byFlow.entries.sortedBy { lastTurns[it.key] ?: NEVER }.map { it.value }
        return (0 until JOBS_PER_FLOW).flatMap { round -> leastRecentFirst.mapNotNull { it.getOrNull(round) } }
    }

    /** [job] has been started. */
    fun recordStarted(job: Job) {
        lastTurns[flows.flowOf(job.spec)] = ++turns
    }

    /** How many jobs of a flow go in one turn. */
    companion object {
        /** Several, so that one that fits nowhere does not keep out the others of its flow. */
        const val JOBS_PER_FLOW = 4

        private const val NEVER = 0L
    }
}

package linemast.admission

import linemast.domain.Job

/**
 * Selects from the jobs that have waited long without a start, by round robin among their flows. The leader's scheduler uses it.
 *
 * A few jobs of each flow are selected, those of the flow with the least recent start first. However many jobs a team submits, a
 * waiting job of another flow therefore starts after a few jobs of each flow.
 */
class FlowRoundRobin(private val flows: FlowClassifier) {
    private val lastTurns = HashMap<Flow, Long>()
    private var turns = 0L

    /** Returns the next jobs to place, in order. In [waiting], the jobs of each flow are in the order in which they are to start. */
    fun selectNext(waiting: List<Job>): List<Job> {
        val byFlow = waiting.groupBy { flows.flowOf(it.spec) }
        lastTurns.keys.retainAll(byFlow.keys)
        val leastRecentFirst = byFlow.entries.sortedBy { lastTurns[it.key] ?: NEVER }.map { it.value }
        return (0 until JOBS_PER_FLOW).flatMap { round -> leastRecentFirst.mapNotNull { it.getOrNull(round) } }
    }

    /** Records that [job] was started, which makes its flow the one with the most recent start. */
    fun recordStarted(job: Job) {
        lastTurns[flows.flowOf(job.spec)] = ++turns
    }

    /** Constants of the selection. */
    companion object {
        /**
         * Maximum number of jobs of a flow in one selection. It is more than one, so that a job that fits on no machine does not
         * block the other jobs of its flow.
         */
        const val JOBS_PER_FLOW = 4

        private const val NEVER = 0L
    }
}

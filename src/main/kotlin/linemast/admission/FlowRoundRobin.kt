package linemast.admission

import linemast.domain.Job

/**
 * Whose turn it is among jobs that have waited for long without a start; pure, the leader's.
 *
 * The flows take turns, the one that was served longest ago first, with a few jobs each: however many jobs a team submits,
 * what waits of the others begins after a few of each flow.
 */
class FlowRoundRobin(private val flows: FlowClassifier) {
    private val lastTurns = HashMap<Flow, Long>()
    private var turns = 0L

    /** The jobs among [waiting] whose turn it is, the first to go first. [waiting] is in the order in which each flow's jobs go. */
    fun next(waiting: List<Job>): List<Job> {
        val byFlow = waiting.groupBy { flows.flowOf(it.spec) }
        lastTurns.keys.retainAll(byFlow.keys)
        val inTurn = byFlow.entries.sortedBy { lastTurns[it.key] ?: 0L }.map { it.value }
        return (0 until JOBS_A_FLOW).flatMap { round -> inTurn.mapNotNull { it.getOrNull(round) } }
    }

    /** [job] has got room. */
    fun recordServed(job: Job) {
        lastTurns[flows.flowOf(job.spec)] = ++turns
    }

    companion object {
        /** Several, so that one for which there is no room does not keep out the others of its flow. */
        const val JOBS_A_FLOW = 4
    }
}

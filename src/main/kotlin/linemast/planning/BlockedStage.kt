package linemast.planning

import linemast.domain.Job

/**
 * A job that is blocked by its dependencies, with the data for planning it before it may start.
 *
 * @property job the blocked job.
 * @property dependencies ids of the jobs that [job] depends on, both running and blocked ones.
 * @property startsInMicros estimated time until the last of the [dependencies] ends.
 */
class BlockedStage(val job: Job, val dependencies: Set<String>, val startsInMicros: Long)

/** A stage in the order of planning; [neighbour] is the adjacent stage planned before it, null for the first of its pipeline. */
internal class OrderedStage(val stage: BlockedStage, val neighbour: BlockedStage?)

/**
 * Returns [stages] in the order of planning of the paper that [Planner] follows: from the stage with the highest scale-out cost
 * outward to its parents and children.
 *
 * Stages that are connected by dependencies form one pipeline; each pipeline begins with its costliest stage.
 */
internal fun costliestFirst(stages: List<BlockedStage>, scaleOutCost: (BlockedStage) -> Double): List<OrderedStage> {
    val costs = stages.associateWith(scaleOutCost)
    val neighbours = neighbours(stages)
    val ordered = LinkedHashMap<BlockedStage, OrderedStage>()
    for (first in stages.sortedByDescending { costs.getValue(it) }) {
        if (first in ordered) continue
        ordered[first] = OrderedStage(first, neighbour = null)
        val next = ArrayDeque(listOf(first))
        while (next.isNotEmpty()) {
            val stage = next.removeFirst()
            for (other in neighbours.getValue(stage).sortedByDescending { costs.getValue(it) }) {
                if (other in ordered) continue
                ordered[other] = OrderedStage(other, neighbour = stage)
                next += other
            }
        }
    }
    return ordered.values.toList()
}

private fun neighbours(stages: List<BlockedStage>): Map<BlockedStage, Set<BlockedStage>> {
    val byId = stages.associateBy { it.job.id }
    val neighbours = stages.associateWith { LinkedHashSet<BlockedStage>() }
    for (stage in stages) {
        for (parent in stage.dependencies.mapNotNull(byId::get)) {
            neighbours.getValue(stage) += parent
            neighbours.getValue(parent) += stage
        }
    }
    return neighbours
}

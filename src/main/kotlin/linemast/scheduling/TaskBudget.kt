package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine
import linemast.settings.ProcessLimits
import linemast.settings.WorkerSettings

/**
 * Bounds the tasks that a leader holds at once: assigned, started and adopted ones, and ended ones that are not acknowledged yet.
 *
 * Each of them takes up memory of the leader, and processor time with each heartbeat that lists it. Jobs of many small tasks leave a part
 * of [maxTasks] free, so that they keep no other job waiting. Tasks are small if the fleet has room for more than [maxTasks] of them.
 */
internal class TaskBudget(private val maxTasks: Int, machines: Collection<Machine>) {
    private var held = heldTasks(machines)
    private val fleetVcpus = machines.sumOf { it.type.vcpus }

    /** Counts one more task. */
    fun add() {
        held++
    }

    /** Counts one task fewer. */
    fun remove() {
        held--
    }

    /** Returns how many more tasks of [job] the leader may hold. */
    fun remainingFor(job: Job): Int {
        val remaining = maxTasks - held
        val unreserved = remaining - maxTasks / RESERVED_DIVISOR
        val hasSmallTasks = job.spec.vcpus * maxTasks < fleetVcpus
        if (job.spec.isGang || !hasSmallTasks) return remaining.coerceAtLeast(0)
        return maxOf(unreserved, minOf(remaining, Job.FEW_PLACEMENTS - job.placements.size)).coerceAtLeast(0)
    }

    companion object {
        /** One in this many tasks is left to other jobs than those of many small tasks. */
        private const val RESERVED_DIVISOR = 8

        /** The part of the heap that tasks may take up. */
        private const val HEAP_DIVISOR = 4

        /** Memory that one task takes up, with its entries in maps and sets, in bytes. */
        private const val BYTES_PER_TASK = 320L

        /** The part of the processor share that may be spent on the tasks in heartbeats. */
        private const val PROCESSOR_DIVISOR = 2

        /** Processor time for one task in one heartbeat, in microseconds. */
        private const val PROCESSOR_MICROS_PER_TASK = 5.0

        /** Returns the number of tasks that a leader holds on [machines]. */
        fun heldTasks(machines: Collection<Machine>): Int = machines.sumOf { it.placements.size + it.endedTasks.size }

        /** Returns the most tasks that a leader with a heap of at most [heapBytes] may hold. */
        fun maxTasks(heapBytes: Long, limits: ProcessLimits, workers: WorkerSettings): Int {
            val byMemory = heapBytes / HEAP_DIVISOR / BYTES_PER_TASK
            val processorMicros = limits.cpuShare / PROCESSOR_DIVISOR * workers.heartbeatIntervalMicros
            val byProcessor = (processorMicros / PROCESSOR_MICROS_PER_TASK).toLong()
            return minOf(byMemory, byProcessor).toInt()
        }
    }
}

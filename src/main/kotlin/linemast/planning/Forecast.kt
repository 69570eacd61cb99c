package linemast.planning

import linemast.cloud.MachineType
import linemast.workers.Job
import linemast.workers.Machine

/**
 * The forecast of free owned room: per machine and interval, its vcpus less what will still run then.
 *
 * Waiting demand comes off as jobs book their targets in their order; no room is below zero.
 */
class Forecast(
    machines: Collection<Machine>,
    private val startMicros: Long,
    val intervalMicros: Long,
    val intervals: Int,
    times: TaskTimes,
    private val closed: (MachineType, Boolean, Job) -> Boolean,
) {
    private class Row(val machine: Machine, val room: DoubleArray, val freeNow: Double)

    private val rows = machines.map { machine ->
        val room = DoubleArray(intervals) { machine.type.vcpus }
        for (placement in machine.placements.values) {
            val job = placement.job
            if (placement.isAssigned) continue
            val vcpus = job?.spec?.vcpus ?: machine.type.vcpus
            val started = maxOf(placement.runningSinceMicros, placement.sentMicros)
            val left = if (job == null) 0L else started + times.estimateMicros(job) - startMicros
            for (i in 0 until intervals) {
                // The part of the interval in which the task still runs is not free.
                val busy = (left - i * intervalMicros).coerceIn(0L, intervalMicros).toDouble() / intervalMicros
                room[i] = (room[i] - vcpus * busy).coerceAtLeast(0.0)
            }
        }
        Row(machine, room, machine.freeVcpus)
    }

    /** Tasks of [job] that may run side by side in interval [i], going by what is left on each machine. */
    fun roomFor(job: Job, i: Int): Double = rows.sumOf { row ->
        if (isOpen(row.machine, job)) Math.floor(row.room[i] / job.spec.vcpus + EPSILON) else 0.0
    }

    /** Tasks of [job] that could start at once. */
    fun freeNow(job: Job): Double = rows.sumOf { row ->
        if (isOpen(row.machine, job)) Math.floor(row.freeNow / job.spec.vcpus + EPSILON) else 0.0
    }

    /** Takes room for [tasks] tasks side by side in interval [i]. */
    fun book(job: Job, i: Int, tasks: Double) {
        var left = tasks * job.spec.vcpus
        for (row in rows.sortedBy { it.machine.type.vcpus }) {
            if (left <= 0) return
            if (!isOpen(row.machine, job)) continue
            val taken = minOf(left, row.room[i])
            row.room[i] -= taken
            left -= taken
        }
    }

    private fun isOpen(machine: Machine, job: Job) = machine.allows(job.spec) && !closed(machine.type, machine.loaners, job)

    private companion object {
        const val EPSILON = 1e-6
    }
}

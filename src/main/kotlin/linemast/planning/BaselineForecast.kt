package linemast.planning

import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.MachineShape
import linemast.domain.MachineType

/**
 * The forecast of free owned room: per machine and interval, its vcpus less what will still run then.
 *
 * Waiting demand comes off as jobs book their targets in their order; no room is below zero. Machines of one shape are
 * kept as counts by how much room they have, in [LEVELS] steps, so that a look or a booking does not go over the fleet.
 */
class BaselineForecast(
    machines: Collection<Machine>,
    private val startMicros: Long,
    val intervalMicros: Long,
    val intervals: Int,
    runTimes: RunTimeEstimates,
    private val closed: (MachineType, Boolean, Job) -> Boolean,
) {
    /** How many machines have room of how many steps, now and in each interval. */
    private class Rows(val shape: MachineShape, intervals: Int) {
        val stepVcpus = shape.type.vcpus / LEVELS
        val now = IntArray(LEVELS + 1)
        val byInterval = Array(intervals) { IntArray(LEVELS + 1) }

        fun levelOf(vcpus: Double): Int = Math.floor(vcpus / stepVcpus + EPSILON).toInt().coerceIn(0, LEVELS)

        /** Tasks of [vcpus] each that fit side by side, each on one machine. */
        fun places(counts: IntArray, vcpus: Double): Double {
            var places = 0.0
            for (level in LEVELS downTo 1) {
                val each = Math.floor(level * stepVcpus / vcpus + EPSILON)
                if (each < 1) break
                places += counts[level] * each
            }
            return places
        }

        /** Takes room of [vcpus] in all, from the fullest machines first; what was not to be had. */
        fun take(counts: IntArray, vcpus: Double): Double {
            var left = vcpus
            for (level in 1..LEVELS) {
                val each = level * stepVcpus
                val whole = minOf(counts[level], (left / each + EPSILON).toInt())
                counts[level] -= whole
                counts[0] += whole
                left -= whole * each
                if (counts[level] == 0) continue
                counts[level]--
                counts[level - Math.ceil(left / stepVcpus - EPSILON).toInt().coerceIn(0, level)]++
                return 0.0
            }
            return left
        }
    }

    private val rows: List<Rows> = rowsOf(machines, runTimes)

    private fun rowsOf(machines: Collection<Machine>, runTimes: RunTimeEstimates): List<Rows> {
        val byShape = LinkedHashMap<MachineShape, Rows>()
        val room = DoubleArray(intervals)
        for (machine in machines) {
            val rows = byShape.getOrPut(machine.shape) { Rows(machine.shape, intervals) }
            room.fill(machine.type.vcpus)
            for (placement in machine.placements.values) {
                val job = placement.job
                if (placement.isAssigned || job == null) continue
                val left = maxOf(placement.runningSinceMicros, placement.sentMicros) + runTimes.estimateMicros(job) - startMicros
                for (i in 0 until intervals) {
                    // The part of the interval in which the task still runs is not free.
                    val busy = (left - i * intervalMicros).coerceAtMost(intervalMicros).toDouble() / intervalMicros
                    if (busy <= 0) break
                    room[i] -= job.spec.vcpus * busy
                }
            }
            rows.now[rows.levelOf(machine.freeVcpus)]++
            for (i in 0 until intervals) rows.byInterval[i][rows.levelOf(room[i])]++
        }
        return byShape.values.sortedBy { it.shape.type.vcpus }
    }

    /** Tasks of [job] that may run side by side in interval [i], going by what is left on each machine. */
    fun freeSlots(job: Job, i: Int): Double = rows.sumOf { if (isOpen(it, job)) it.places(it.byInterval[i], job.spec.vcpus) else 0.0 }

    /** Tasks of [job] that could start at once. */
    fun freeSlotsNow(job: Job): Double = rows.sumOf { if (isOpen(it, job)) it.places(it.now, job.spec.vcpus) else 0.0 }

    /** Takes room for [tasks] tasks side by side in interval [i]. */
    fun reserve(job: Job, i: Int, tasks: Double) {
        var left = tasks * job.spec.vcpus
        for (row in rows) {
            if (left <= EPSILON) return
            if (isOpen(row, job)) left = row.take(row.byInterval[i], left)
        }
    }

    private fun isOpen(rows: Rows, job: Job) = rows.shape.allows(job.spec) && !closed(rows.shape.type, rows.shape.spot, job)

    private companion object {
        const val LEVELS = 64
        const val EPSILON = 1e-6
    }
}

package linemast.planning

import linemast.domain.HeartbeatSize
import linemast.domain.Job
import linemast.domain.Machine
import linemast.domain.MachineShape
import linemast.domain.MachineType

/**
 * Forecasts the free vcpus of each baseline machine in each interval: all its vcpus less those of tasks that still run then.
 *
 * The demand of pending tasks is subtracted when jobs reserve their targets, in the order of planning; free capacity never
 * falls below zero. Machines of one shape share a [FreeCapacityHistogram] per interval.
 *
 * @param isExcluded whether a job must not use machines of a type, spot or on-demand, although its tasks fit on them.
 */
internal class BaselineForecast(
    machines: Collection<Machine>,
    private val horizon: PlanningHorizon,
    private val runTimes: RunTimeEstimates,
    private val isExcluded: (type: MachineType, spot: Boolean, job: Job) -> Boolean,
) {
    private class ShapeForecast(val shape: MachineShape, intervals: Int) {
        val freeNow = FreeCapacityHistogram(shape.type.vcpus)
        val freeByInterval = List(intervals) { FreeCapacityHistogram(shape.type.vcpus) }
    }

    /** One forecast per machine shape, ordered by vcpus with the smallest machines first. */
    private val shapes: List<ShapeForecast> = forecastByShape(machines)

    private fun forecastByShape(machines: Collection<Machine>): List<ShapeForecast> {
        val byShape = LinkedHashMap<MachineShape, ShapeForecast>()
        val freeVcpus = DoubleArray(horizon.intervals)
        for (machine in machines) {
            val forecast = byShape.getOrPut(machine.shape) { ShapeForecast(machine.shape, horizon.intervals) }
            forecast.freeNow.add(freeVcpusNow(machine))
            fillFreeVcpus(machine, freeVcpus)
            for (i in freeVcpus.indices) forecast.freeByInterval[i].add(freeVcpus[i])
        }
        return byShape.values.sortedBy { it.shape.type.vcpus }
    }

    /** Returns the free vcpus of [machine], as far as its heartbeats can list tasks that use them. */
    private fun freeVcpusNow(machine: Machine): Double {
        val listable = machine.type.vcpus * machine.capacity.freeHeartbeatBytes / HeartbeatSize.CAPACITY_BYTES
        return minOf(machine.freeVcpus, listable)
    }

    /** Sets [freeVcpus] to the average free vcpus of [machine] in each interval. */
    private fun fillFreeVcpus(machine: Machine, freeVcpus: DoubleArray) {
        freeVcpus.fill(machine.type.vcpus)
        for (placement in machine.placements.values) {
            val job = placement.job
            if (placement.isAssigned || job == null) continue
            val plannedVcpus = machine.type.plannedVcpus(job)
            val startedMicros = maxOf(placement.runningSinceMicros, placement.sentMicros)
            val remainingMicros = startedMicros + runTimes.estimateMicros(job) - horizon.startMicros
            for (i in freeVcpus.indices) {
                val busyMicros = (remainingMicros - i * horizon.intervalMicros).coerceAtMost(horizon.intervalMicros)
                val busyShare = busyMicros.toDouble() / horizon.intervalMicros
                if (busyShare <= 0) break
                freeVcpus[i] -= plannedVcpus * busyShare
            }
        }
    }

    /** Returns how many tasks of [job] can run concurrently in [interval], given the free vcpus that remain on each machine. */
    fun freeSlots(job: Job, interval: Int): Double =
        shapes.sumOf { if (isUsable(it.shape, job)) it.freeByInterval[interval].slots(it.shape.type.plannedVcpus(job)) else 0.0 }

    /** Returns how many tasks of [job] could start now. */
    fun freeSlotsNow(job: Job): Double =
        shapes.sumOf { if (isUsable(it.shape, job)) it.freeNow.slots(it.shape.type.plannedVcpus(job)) else 0.0 }

    /** Reserves capacity for [slots] concurrent tasks of [job] in [interval]. */
    fun reserve(job: Job, interval: Int, slots: Double) {
        var remainingSlots = slots
        for (forecast in shapes) {
            val slotVcpus = forecast.shape.type.plannedVcpus(job)
            if (remainingSlots * slotVcpus <= EPSILON) return
            if (!isUsable(forecast.shape, job)) continue
            remainingSlots = forecast.freeByInterval[interval].reserve(remainingSlots * slotVcpus) / slotVcpus
        }
    }

    private fun isUsable(shape: MachineShape, job: Job) = shape.allows(job.spec) && !isExcluded(shape.type, shape.spot, job)

    private companion object {
        const val EPSILON = 1e-6
    }
}

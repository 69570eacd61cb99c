package linemast.planning

/**
 * Counts machines of one type, with [machineVcpus] each, by their free vcpus.
 *
 * Free vcpus are rounded down to one of [LEVELS] equal steps, so that the cost of a query or a reservation does not depend on
 * the size of the fleet.
 */
internal class FreeCapacityHistogram(machineVcpus: Double) {
    private val stepVcpus = machineVcpus / LEVELS
    private val machines = IntArray(LEVELS + 1)

    /** Adds a machine with [freeVcpus]. */
    fun add(freeVcpus: Double) {
        machines[Math.floor(freeVcpus / stepVcpus + EPSILON).toInt().coerceIn(0, LEVELS)]++
    }

    /** Returns how many tasks of [taskVcpus] each can run concurrently, each on a single machine. */
    fun slots(taskVcpus: Double): Double {
        var slots = 0.0
        for (level in LEVELS downTo 1) {
            val slotsPerMachine = Math.floor(level * stepVcpus / taskVcpus + EPSILON)
            if (slotsPerMachine < 1) break
            slots += machines[level] * slotsPerMachine
        }
        return slots
    }

    /** Reserves [vcpus] in total, first on the machines with the fewest free vcpus, and returns the vcpus that could not be reserved. */
    fun reserve(vcpus: Double): Double {
        var remaining = vcpus
        for (level in 1..LEVELS) {
            val freeVcpus = level * stepVcpus
            val filled = minOf(machines[level], (remaining / freeVcpus + EPSILON).toInt())
            machines[level] -= filled
            machines[0] += filled
            remaining -= filled * freeVcpus
            if (machines[level] == 0) continue
            machines[level]--
            machines[level - Math.ceil(remaining / stepVcpus - EPSILON).toInt().coerceIn(0, level)]++
            return 0.0
        }
        return remaining
    }

    private companion object {
        const val LEVELS = 64
        const val EPSILON = 1e-6
    }
}

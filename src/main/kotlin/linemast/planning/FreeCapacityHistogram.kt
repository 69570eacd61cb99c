package linemast.planning

/**
 * How many machines of one type, of [machineVcpus] each, have how many free vcpus.
 *
 * Free vcpus are rounded down to [LEVELS] equal steps, so that a query or a reservation does not depend on the size of the fleet.
 */
internal class FreeCapacityHistogram(machineVcpus: Double) {
    private val stepVcpus = machineVcpus / LEVELS
    private val machines = IntArray(LEVELS + 1)

    /** Adds a machine. */
    fun add(freeVcpus: Double) {
        machines[Math.floor(freeVcpus / stepVcpus + EPSILON).toInt().coerceIn(0, LEVELS)]++
    }

    /** Tasks of [taskVcpus] each that fit concurrently, each on one machine. */
    fun slots(taskVcpus: Double): Double {
        var slots = 0.0
        for (level in LEVELS downTo 1) {
            val slotsPerMachine = Math.floor(level * stepVcpus / taskVcpus + EPSILON)
            if (slotsPerMachine < 1) break
            slots += machines[level] * slotsPerMachine
        }
        return slots
    }

    /** Reserves [vcpus] in all, on the machines with the least free first; returns what was not to be had. */
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

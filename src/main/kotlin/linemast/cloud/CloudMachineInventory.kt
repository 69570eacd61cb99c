package linemast.cloud

import linemast.domain.MachineType

/**
 * The machines that exist according to the cloud, during one term of a leader.
 *
 * The cloud's list lags: a machine that is missing from the list may be running, and a listed machine may no longer exist. A
 * machine is therefore removed only after a confirmed scale-in, or once several consecutive lists have not contained it.
 */
internal class CloudMachineInventory(private val listLagMicros: Long) {
    private val machinesByName = LinkedHashMap<String, CloudMachine>()

    /** Machines whose scale-in a previous leader has requested: the scale-in may take effect at any moment. */
    private val scaleInsOfPreviousLeaders = HashSet<String>()

    /** All machines by name, in the order in which they became known. */
    val machines: Map<String, CloudMachine> get() = machinesByName

    /** Names of the baseline machines; null until they are known. */
    var baselineMachines: Set<String>? = null

    /** Whether the cloud's list has arrived at least once in this term. */
    var hasMachineList = false
        private set

    /** Merges the cloud's [list] into this inventory; ignores machines of a type that is not in [types]. */
    fun updateFromList(list: List<ListedMachine>, types: Map<String, MachineType>, nowMicros: Long) {
        hasMachineList = true
        for (listed in list) {
            val type = types[listed.machineType] ?: continue
            val machine = machinesByName.getOrPut(listed.name) { newMachine(listed, type, nowMicros) }
            machine.lastListedMicros = nowMicros
            machine.status = listed.status
        }
        val absentSince = nowMicros - MAX_MISSED_LISTS * listLagMicros - ABSENCE_MARGIN_MICROS
        machinesByName.values.removeIf { maxOf(it.lastListedMicros, it.createdMicros) < absentSince }
    }

    private fun newMachine(listed: ListedMachine, type: MachineType, nowMicros: Long): CloudMachine {
        val machine = CloudMachine(listed.name, type, listed.zone, listed.spot, nowMicros - listed.ageMicros)
        machine.isScalingIn = listed.name in scaleInsOfPreviousLeaders
        return machine
    }

    /** Adds the machines [names] that the cloud has just granted. */
    fun addGranted(names: List<String>, type: MachineType, zone: String, spot: Boolean, nowMicros: Long) {
        for (name in names) machinesByName.getOrPut(name) { CloudMachine(name, type, zone, spot, nowMicros) }
    }

    /** Marks the machines [names], whose scale-in a previous leader has decided, whether they are listed yet or not. */
    fun markScalingIn(names: Collection<String>) {
        scaleInsOfPreviousLeaders += names
        names.forEach { machinesByName[it]?.isScalingIn = true }
    }

    /** Removes the machines [names], whose scale-in the cloud has confirmed. */
    fun remove(names: Collection<String>) {
        names.forEach(machinesByName::remove)
        scaleInsOfPreviousLeaders -= names.toSet()
    }

    /**
     * Whether machine [name] does not exist any more according to the cloud, or has failed. A machine that has just been granted
     * counts as existing although it may not be listed yet.
     */
    fun isAbsentOrFailed(name: String): Boolean = machinesByName[name].let { it == null || it.status == CloudMachine.FAILED }

    /** Whether machine [name] is a baseline machine; all machines count as baseline machines until the baseline is known. */
    fun isBaseline(name: String): Boolean = baselineMachines?.contains(name) ?: true

    private companion object {
        const val MAX_MISSED_LISTS = 4
        const val ABSENCE_MARGIN_MICROS = 20_000_000L
    }
}

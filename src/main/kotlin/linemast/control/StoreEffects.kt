package linemast.control

import linemast.domain.Job
import linemast.domain.Machine
import linemast.scheduling.Cluster
import linemast.scheduling.ClusterEffects

/**
 * Forwards the writes that the cluster state requests to the stores of this package.
 *
 * The cluster state and the stores need each other, since a store changes the cluster state when a write has been applied.
 * So this object is created first, and [connect] sets the stores before the first event.
 */
internal class StoreEffects : ClusterEffects {
    private lateinit var cluster: Cluster
    private lateinit var jobActivationStore: JobActivationStore
    private lateinit var jobStore: JobStore
    private lateinit var machineRegistryStore: MachineRegistryStore

    /** Sets the cluster state and the stores; to be called once, before the first event. */
    fun connect(cluster: Cluster, jobActivationStore: JobActivationStore, jobStore: JobStore, machineRegistryStore: MachineRegistryStore) {
        this.cluster = cluster
        this.jobActivationStore = jobActivationStore
        this.jobStore = jobStore
        this.machineRegistryStore = machineRegistryStore
    }

    override fun persistActivation(job: Job) = jobActivationStore.activate(job)

    override fun persistProgress(job: Job) = jobStore.persistProgress(job)

    override fun deleteCancelledJob(job: Job) = jobStore.deleteCancelled(job)

    override fun registerMachines(machines: List<Machine>) = machineRegistryStore.register(machines) {
        machines.forEach { it.isRegistered = true }
        cluster.needsScheduling = true
    }

    override fun unregisterMachines(names: List<String>) = machineRegistryStore.unregister(names)
}

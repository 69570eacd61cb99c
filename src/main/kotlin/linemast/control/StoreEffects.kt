package linemast.control

import linemast.domain.Job
import linemast.domain.Machine
import linemast.scheduling.Cluster
import linemast.scheduling.ClusterEffects

/**
 * Passes what the cluster state wants stored to the store writers.
 *
 * The writers change the cluster state when the store has answered, so that each side needs the other; [connect] closes the
 * circle before the first event.
 */
internal class StoreEffects : ClusterEffects {
    private lateinit var cluster: Cluster
    private lateinit var activations: JobActivationStore
    private lateinit var jobs: JobStore
    private lateinit var machineRegistry: MachineRegistryStore

    /** Sets the writers; to be called once, before the first event. */
    fun connect(cluster: Cluster, activations: JobActivationStore, jobs: JobStore, machineRegistry: MachineRegistryStore) {
        this.cluster = cluster
        this.activations = activations
        this.jobs = jobs
        this.machineRegistry = machineRegistry
    }

    override fun persistActivation(job: Job) = activations.activate(job)

    override fun persistProgress(job: Job) = jobs.storeProgress(job)

    override fun deleteCancelledJob(job: Job) = jobs.deleteCancelled(job)

    override fun registerMachines(machines: List<Machine>) = machineRegistry.add(machines) {
        machines.forEach { it.isRegistered = true }
        cluster.needsScheduling = true
    }

    override fun unregisterMachines(names: List<String>) = machineRegistry.remove(names)
}

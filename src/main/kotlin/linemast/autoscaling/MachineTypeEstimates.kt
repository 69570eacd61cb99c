package linemast.autoscaling

import linemast.domain.Job
import linemast.domain.MachineType
import linemast.scheduling.Cluster

/** Startup times and prices of the machine types that a job may run on. */
internal class MachineTypeEstimates(private val cluster: Cluster) {
    /** The usual startup of the fastest type for [job]; 0 if no type fits. */
    fun startupMicros(job: Job): Long = typesFor(job).minOfOrNull(MachineType::startupMicros) ?: 0L

    /** How long before the start of a stage machines are requested for it: some start up more slowly than usual. */
    fun scaleOutLeadMicros(job: Job): Long =
        (typesFor(job).maxOfOrNull(MachineType::startupMicros) ?: 0L) * SCALE_OUT_LEAD_PERCENT / PERCENT

    /** Price of a vcpu where [job] is cheapest to run beyond the baseline; 0 if no type fits. */
    fun pricePerVcpu(job: Job): Double = typesFor(job).minOfOrNull { pricePerVcpu(it, job) } ?: 0.0

    private fun pricePerVcpu(type: MachineType, job: Job): Double =
        (if (job.spec.allowsSpot) minOf(type.price, type.spotPrice) else type.price) / type.vcpus

    private fun typesFor(job: Job): List<MachineType> = cluster.machineTypes.values.filter { it.canHost(job.spec) }

    private companion object {
        const val SCALE_OUT_LEAD_PERCENT = 150
        const val PERCENT = 100
    }
}

package linemast.autoscaling

import linemast.domain.Job
import linemast.domain.MachineType
import linemast.scheduling.Cluster

/** Startup times and prices of the machine types that a job may run on. */
internal class MachineTypeEstimates(private val cluster: Cluster) {
    /** Returns the usual startup time of the fastest type that fits [job]; 0 if no type fits. */
    fun startupMicros(job: Job): Long = typesFor(job).minOfOrNull(MachineType::startupMicros) ?: 0L

    /**
     * Returns how long before [job], a blocked stage, starts its machines are requested: [SCALE_OUT_LEAD_PERCENT] percent of the
     * longest usual startup time, because some machines start up more slowly than usual.
     */
    fun scaleOutLeadMicros(job: Job): Long =
        (typesFor(job).maxOfOrNull(MachineType::startupMicros) ?: 0L) * SCALE_OUT_LEAD_PERCENT / PERCENT

    /** Returns the lowest price per vcpu of the types that [job] can be scaled out on; 0 if no type fits. */
    fun pricePerVcpu(job: Job): Double = typesFor(job).minOfOrNull { pricePerVcpu(it, job) } ?: 0.0

    private fun pricePerVcpu(type: MachineType, job: Job): Double =
        (if (job.spec.allowsSpot) minOf(type.price, type.spotPrice) else type.price) / type.vcpus

    private fun typesFor(job: Job): List<MachineType> = cluster.machineTypes.values.filter { it.canHost(job.spec) }

    private companion object {
        const val SCALE_OUT_LEAD_PERCENT = 150
        const val PERCENT = 100
    }
}

package linemast.control

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.autoscaling.Autoscaler
import linemast.autoscaling.ScalingActions
import linemast.cloud.CloudActionExecutor
import linemast.cloud.CloudException
import linemast.cloud.Fleet
import linemast.cloud.ScaleInBatch
import linemast.cloud.ScaleOutRequest
import linemast.cloud.ScaleOutResult
import linemast.scheduling.Cluster
import org.slf4j.LoggerFactory

/**
 * Carries out scale-out and scale-in at the cloud.
 *
 * The [Autoscaler] decides what to request; results are applied on the leader's event loop.
 */
internal class CloudOperations(
    private val term: LeaderTerm,
    private val executor: CloudActionExecutor,
    private val cluster: Cluster,
    private val fleet: Fleet,
    private val autoscaler: Autoscaler,
    private val machineRegistryStore: MachineRegistryStore,
) {
    private val log = LoggerFactory.getLogger(CloudOperations::class.java)

    /** Sends the requests of [actions] to the cloud, in coroutines of the term. */
    fun execute(actions: ScalingActions) {
        actions.scaleOuts.forEach { request -> term.scope.launch { scaleOut(request) } }
        if (!actions.scaleIns.isEmpty) executor.split(actions.scaleIns).forEach(::scaleIn)
    }

    /** Sends [request], and repeats it under the same id if it gets no response; the cloud carries out each id at most once. */
    private suspend fun scaleOut(request: ScaleOutRequest) {
        repeat(MAX_SCALE_OUT_ATTEMPTS) {
            if (!term.lease.mayIssueCommands(term.clock.nowMicros())) return@repeat
            val result = requestScaleOut(request)
            if (result != ScaleOutResult.Unknown) return term.eventLoop.enqueue { recordScaleOutResult(request, result) }
            delay(RETRY_MILLIS)
        }
        term.eventLoop.enqueue {
            fleet.recordScaleOutAbandoned(request)
            autoscaler.scaleSoon()
        }
    }

    private suspend fun requestScaleOut(request: ScaleOutRequest): ScaleOutResult = try {
        executor.scaleOut(request)
    } catch (e: CloudException) {
        log.error("scale-out request {}: failed, treated as no capacity: {}", request.requestId, e.message)
        ScaleOutResult.NoCapacity
    }

    /** Applies the result of a scale-out request. */
    fun recordScaleOutResult(request: ScaleOutRequest, result: ScaleOutResult) {
        val now = term.clock.nowMicros()
        if (result == ScaleOutResult.Unknown) return fleet.recordScaleOutAbandoned(request)
        val grantedNames = (result as? ScaleOutResult.Granted)?.names
        if (grantedNames == null) {
            fleet.recordScaleOutRefused(request, cluster.machineTypes, now)
        } else {
            fleet.recordScaleOutGranted(request, grantedNames, cluster.machineTypes, now)
        }
        if ((grantedNames?.size ?: 0) < request.machineCount || fleet.hasDeferredDemand) autoscaler.scaleSoon()
    }

    private fun scaleIn(batch: ScaleInBatch) {
        val names = batch.names
        cluster.markScalingIn(names)
        names.forEach { fleet.machines[it]?.isScalingIn = true }
        term.scope.launch {
            val isConfirmed = scaleInUntilCertain(batch)
            term.eventLoop.enqueue { if (isConfirmed) recordScaleInConfirmed(names) else recordScaleInRefused(names) }
        }
    }

    /**
     * Requests the scale-in of [batch] until its outcome is certain; returns whether the cloud has confirmed it. After a call without a
     * response, the scale-in may still take effect at any time: then it is repeated until it is confirmed.
     */
    private suspend fun scaleInUntilCertain(batch: ScaleInBatch): Boolean {
        var mayTakeEffect = false
        while (true) {
            when (requestScaleIn(batch)) {
                ScaleInOutcome.CONFIRMED -> return true
                // After the end of the term the next leader decides about the machines.
                ScaleInOutcome.REFUSED -> if (!mayTakeEffect && !term.lease.hasEnded) return false
                ScaleInOutcome.UNKNOWN -> mayTakeEffect = true
            }
            do delay(RETRY_MILLIS) while (!term.lease.mayIssueCommands(term.clock.nowMicros()))
        }
    }

    private suspend fun requestScaleIn(batch: ScaleInBatch): ScaleInOutcome = try {
        executor.scaleIn(batch)
        ScaleInOutcome.CONFIRMED
    } catch (e: CloudException) {
        log.info("scale-in of {}: failed, the machines may be scaled in again: {}", batch.names, e.message)
        when (e) {
            is CloudException.ErrorStatus, is CloudException.NotPermitted -> ScaleInOutcome.REFUSED
            is CloudException.NoResponse, is CloudException.MalformedResponse -> ScaleInOutcome.UNKNOWN
        }
    }

    private fun recordScaleInRefused(names: List<String>) {
        cluster.knownMachines.recordScaleInRefused(names)
        names.forEach { fleet.machines[it]?.isScalingIn = cluster.knownMachines.isScalingIn(it) }
    }

    /** Removes the machines [names] from the leader's state and the registry: the cloud has confirmed their scale-in. */
    fun recordScaleInConfirmed(names: List<String>) {
        fleet.recordScaleInConfirmed(names)
        cluster.markTerminated(names)
        machineRegistryStore.unregister(names)
    }

    private enum class ScaleInOutcome {
        /** The machines no longer exist. */
        CONFIRMED,

        /** The call has not been made or was rejected: it has no effect. */
        REFUSED,

        /** The call got no response. */
        UNKNOWN,
    }

    private companion object {
        const val RETRY_MILLIS = 1_000L
        const val MAX_SCALE_OUT_ATTEMPTS = 5
    }
}

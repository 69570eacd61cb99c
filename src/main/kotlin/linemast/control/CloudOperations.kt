package linemast.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.autoscaling.Autoscaler
import linemast.autoscaling.ScalingActions
import linemast.cloud.Cloud
import linemast.cloud.CloudActionExecutor
import linemast.cloud.CloudException
import linemast.cloud.Fleet
import linemast.cloud.MAX_MACHINES_PER_LIST_CALL
import linemast.cloud.ScaleInBatch
import linemast.cloud.ScaleOutRequest
import linemast.cloud.ScaleOutResult
import linemast.leadership.LeaderLease
import linemast.scheduling.Cluster
import linemast.store.StoreException
import linemast.time.Clock
import org.slf4j.LoggerFactory

/**
 * The leader's calls to the cloud: the machine list, rentals and returns.
 *
 * Results are taken in by the leader's event loop; nothing here decides what to rent or return.
 */
internal class CloudOperations(
    private val cloud: Cloud,
    private val executor: CloudActionExecutor,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val leaderLease: LeaderLease,
    private val cluster: Cluster,
    private val fleet: Fleet,
    private val autoscaler: Autoscaler,
    private val machineRegistryStore: MachineRegistryStore,
    private val baselineFleetStore: BaselineFleetStore,
    private val callsPerSecond: Double,
    /** Runs an action on the coroutine that owns the cluster state. */
    private val onLeaderLoop: suspend (() -> Unit) -> Unit,
) {
    private val log = LoggerFactory.getLogger(CloudOperations::class.java)

    /** Keeps the cloud's list up to date, and learns which machines are the standing fleet. */
    suspend fun watchMachines() {
        while (true) {
            try {
                if (fleet.baselineMachines == null) learnBaselineFleet()
                val list = cloud.machines()
                onLeaderLoop {
                    val now = clock.nowMicros()
                    fleet.updateFromList(list, cluster.types, now)
                    val absent = cluster.forgetAbsent(fleet.machines.keys, now)
                    if (absent.isNotEmpty()) machineRegistryStore.remove(absent)
                }
            } catch (e: CloudException) {
                log.debug("machine list: {}", e.message)
            } catch (e: StoreException) {
                log.debug("standing fleet: {}", e.message)
            }
            delay(listPeriodMillis(fleet.machines.size))
        }
    }

    /** Listing a large fleet takes several calls: so many that rentals and returns keep the greater part of what the cloud takes. */
    private fun listPeriodMillis(machines: Int): Long {
        val calls = machines / MAX_MACHINES_PER_LIST_CALL + 1
        return maxOf(LIST_MILLIS, (calls * SECOND_MILLIS / (callsPerSecond * LIST_SHARE)).toLong())
    }

    private suspend fun learnBaselineFleet() {
        val names = baselineFleetStore.learn() ?: return
        onLeaderLoop {
            fleet.baselineMachines = names
            cluster.markBaseline(names)
        }
    }

    /** Starts the rentals and returns of [actions]. */
    fun run(actions: ScalingActions) {
        actions.scaleOuts.forEach { request -> scope.launch { scaleOut(request) } }
        if (actions.scaleIns.isNotEmpty()) executor.split(actions.scaleIns).forEach(::scaleIn)
    }

    /** A request without an answer is repeated under the same id, which rents at most once. */
    private suspend fun scaleOut(request: ScaleOutRequest) {
        repeat(MAX_SCALE_OUT_ATTEMPTS) {
            if (!leaderLease.mayIssueCommands(clock.nowMicros())) return@repeat
            val result = tryScaleOut(request)
            if (result != ScaleOutResult.Unknown) return onLeaderLoop { scaleOutFinished(request, result) }
            delay(RETRY_MILLIS)
        }
        onLeaderLoop {
            fleet.scaleOutAbandoned(request)
            autoscaler.replanSoon()
        }
    }

    private suspend fun tryScaleOut(request: ScaleOutRequest): ScaleOutResult = try {
        executor.scaleOut(request)
    } catch (e: CloudException) {
        log.error("rental {}: {}", request.requestId, e.message)
        ScaleOutResult.NoCapacity
    }

    /** Takes what became of a rental. */
    fun scaleOutFinished(request: ScaleOutRequest, result: ScaleOutResult) {
        val now = clock.nowMicros()
        if (result == ScaleOutResult.Unknown) return fleet.scaleOutAbandoned(request)
        val granted = (result as? ScaleOutResult.Granted)?.names
        if (granted ==
            null
        ) {
            fleet.scaleOutRefused(request, cluster.types, now)
        } else {
            fleet.scaleOutGranted(request, granted, cluster.types, now)
        }
        if ((granted?.size ?: 0) < request.number || fleet.hasDeferredDemand) autoscaler.replanSoon()
    }

    private fun scaleIn(returns: ScaleInBatch) {
        val names = returns.keys.toList()
        for (name in names) {
            fleet.machines[name]?.scalingIn = true
            cluster.machines[name]?.draining = true
        }
        scope.launch {
            val isConfirmed = tryScaleIn(returns)
            onLeaderLoop { if (isConfirmed) scaleInConfirmed(names) else names.forEach { fleet.machines[it]?.scalingIn = false } }
        }
    }

    private suspend fun tryScaleIn(returns: ScaleInBatch): Boolean = try {
        executor.scaleIn(returns)
        true
    } catch (e: CloudException) {
        log.info("return of {}: {}", returns.keys, e.message)
        false
    }

    /** The cloud has confirmed that the machines are gone. */
    fun scaleInConfirmed(names: List<String>) {
        fleet.scaleInConfirmed(names)
        cluster.returned(names)
        machineRegistryStore.remove(names)
    }

    private companion object {
        const val LIST_MILLIS = 3_000L
        const val SECOND_MILLIS = 1_000L

        /** Of the calls that the cloud takes, for its list. */
        const val LIST_SHARE = 0.25
        const val RETRY_MILLIS = 1_000L
        const val MAX_SCALE_OUT_ATTEMPTS = 5
    }
}

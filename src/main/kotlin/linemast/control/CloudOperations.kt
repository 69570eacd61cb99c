package linemast.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.autoscaling.CloudActions
import linemast.autoscaling.Provisioner
import linemast.cloud.Cloud
import linemast.cloud.CloudException
import linemast.cloud.CloudExecutor
import linemast.cloud.Fleet
import linemast.cloud.MACHINES_A_LIST_CALL
import linemast.cloud.RentRequest
import linemast.cloud.RentResult
import linemast.cloud.Returns
import linemast.leadership.Authority
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
    private val executor: CloudExecutor,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val authority: Authority,
    private val cluster: Cluster,
    private val fleet: Fleet,
    private val provisioner: Provisioner,
    private val fleetStore: FleetStore,
    private val standingFleetStore: StandingFleetStore,
    private val callsPerSecond: Double,
    /** Runs an action on the coroutine that owns the cluster state. */
    private val onLeaderLoop: suspend (() -> Unit) -> Unit,
) {
    private val log = LoggerFactory.getLogger(CloudOperations::class.java)

    /** Keeps the cloud's list up to date, and learns which machines are the standing fleet. */
    suspend fun watchMachines() {
        while (true) {
            try {
                if (fleet.standing == null) learnStandingFleet()
                val list = cloud.machines()
                onLeaderLoop {
                    val now = clock.nowMicros()
                    fleet.listed(list, cluster.types, now)
                    val absent = cluster.forgetAbsent(fleet.machines.keys, now)
                    if (absent.isNotEmpty()) fleetStore.remove(absent)
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
        val calls = machines / MACHINES_A_LIST_CALL + 1
        return maxOf(LIST_MILLIS, (calls * SECOND_MILLIS / (callsPerSecond * LIST_SHARE)).toLong())
    }

    private suspend fun learnStandingFleet() {
        val names = standingFleetStore.learn() ?: return
        onLeaderLoop {
            fleet.standing = names
            cluster.markOwned(names)
        }
    }

    /** Starts the rentals and returns of [actions]. */
    fun run(actions: CloudActions) {
        actions.rentals.forEach { request -> scope.launch { rent(request) } }
        if (actions.returns.isNotEmpty()) executor.parts(actions.returns).forEach(::giveBack)
    }

    /** A request without an answer is repeated under the same id, which rents at most once. */
    private suspend fun rent(request: RentRequest) {
        repeat(RENT_TRIES) {
            if (!authority.mayCommand(clock.nowMicros())) return@repeat
            val result = tryRent(request)
            if (result != RentResult.Unknown) return onLeaderLoop { rented(request, result) }
            delay(RETRY_MILLIS)
        }
        onLeaderLoop {
            fleet.gaveUp(request)
            provisioner.adjustSoon()
        }
    }

    private suspend fun tryRent(request: RentRequest): RentResult = try {
        executor.rent(request)
    } catch (e: CloudException) {
        log.error("rental {}: {}", request.requestId, e.message)
        RentResult.NoCapacity
    }

    /** Takes what became of a rental. */
    fun rented(request: RentRequest, result: RentResult) {
        val now = clock.nowMicros()
        if (result == RentResult.Unknown) return fleet.gaveUp(request)
        val granted = (result as? RentResult.Rented)?.names
        if (granted == null) fleet.refused(request, cluster.types, now) else fleet.rented(request, granted, cluster.types, now)
        if ((granted?.size ?: 0) < request.number || fleet.hasWaitingWishes) provisioner.adjustSoon()
    }

    private fun giveBack(returns: Returns) {
        val names = returns.keys.toList()
        for (name in names) {
            fleet.machines[name]?.returning = true
            cluster.machines[name]?.draining = true
        }
        scope.launch {
            val isConfirmed = tryGiveBack(returns)
            onLeaderLoop { if (isConfirmed) returned(names) else names.forEach { fleet.machines[it]?.returning = false } }
        }
    }

    private suspend fun tryGiveBack(returns: Returns): Boolean = try {
        executor.giveBack(returns)
        true
    } catch (e: CloudException) {
        log.info("return of {}: {}", returns.keys, e.message)
        false
    }

    /** The cloud has confirmed that the machines are gone. */
    fun returned(names: List<String>) {
        fleet.gone(names)
        cluster.returned(names)
        fleetStore.remove(names)
    }

    private companion object {
        const val LIST_MILLIS = 3_000L
        const val SECOND_MILLIS = 1_000L

        /** Of the calls that the cloud takes, for its list. */
        const val LIST_SHARE = 0.25
        const val RETRY_MILLIS = 1_000L
        const val RENT_TRIES = 5
    }
}

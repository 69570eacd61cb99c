package linemast.control

import kotlinx.coroutines.delay
import linemast.cloud.Cloud
import linemast.cloud.CloudException
import linemast.cloud.Fleet
import linemast.cloud.ListedMachine
import linemast.cloud.MAX_MACHINES_PER_LIST_CALL
import linemast.scheduling.Cluster
import linemast.store.StoreException
import org.slf4j.LoggerFactory

/** Polls the cloud's machine list, applies it to the fleet, and determines which machines are the baseline fleet. */
internal class MachineListWatcher(
    private val term: LeaderTerm,
    private val cloud: Cloud,
    /** The cloud's rate limit. */
    private val maxCallsPerSecond: Double,
    private val cluster: Cluster,
    private val fleet: Fleet,
    private val machineRegistryStore: MachineRegistryStore,
    private val baselineFleetStore: BaselineFleetStore,
) {
    private val log = LoggerFactory.getLogger(MachineListWatcher::class.java)

    /** Polls the list until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            try {
                if (fleet.baselineMachines == null) loadBaselineFleet()
                val machines = cloud.listMachines()
                term.eventLoop.enqueue { apply(machines) }
            } catch (e: CloudException) {
                log.debug("machine list: call failed, retried at the next poll: {}", e.message)
            } catch (e: StoreException) {
                log.debug("baseline fleet: names not read or not written, retried at the next poll: {}", e.message)
            }
            delay(pollIntervalMillis(fleet.machines.size))
        }
    }

    private suspend fun loadBaselineFleet() {
        val names = baselineFleetStore.loadOrCreate() ?: return
        term.eventLoop.enqueue {
            fleet.baselineMachines = names
            cluster.markBaseline(names)
        }
    }

    private fun apply(machines: List<ListedMachine>) {
        val now = term.clock.nowMicros()
        fleet.updateFromList(machines, cluster.machineTypes, now)
        val unlisted = cluster.removeUnlisted(fleet.machines.keys, now)
        if (unlisted.isNotEmpty()) machineRegistryStore.unregister(unlisted)
    }

    /** Returns a longer interval for a large fleet, whose list takes several calls, to leave most of the rate limit to scaling. */
    private fun pollIntervalMillis(machines: Int): Long {
        val calls = machines / MAX_MACHINES_PER_LIST_CALL + 1
        return maxOf(MIN_POLL_INTERVAL_MILLIS, (calls * SECOND_MILLIS / (maxCallsPerSecond * MAX_LIST_RATE_SHARE)).toLong())
    }

    private companion object {
        const val MIN_POLL_INTERVAL_MILLIS = 3_000L
        const val SECOND_MILLIS = 1_000L

        /** Greatest share of the cloud's rate limit that polling may use. */
        const val MAX_LIST_RATE_SHARE = 0.25
    }
}

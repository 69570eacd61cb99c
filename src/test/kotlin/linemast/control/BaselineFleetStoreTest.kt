package linemast.control

import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import linemast.cloud.Cloud
import linemast.cloud.ListedMachine
import linemast.cloud.ScaleOutRequest
import linemast.cloud.ScaleOutResult
import linemast.domain.MachineType
import linemast.leadership.LeaderKeys
import linemast.settings.StoreLimits
import linemast.simulation.SimStore
import linemast.store.Write
import linemast.time.Clock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Guards against a baseline fleet whose names do not fit the store's limits on values and transactions.
 *
 * A large fleet takes several chunks and transactions. A refused one would leave the stored list incomplete, and the next
 * leader could not read all names back.
 */
class BaselineFleetStoreTest {
    private class FixedListCloud(private val names: List<String>) : Cloud {
        override suspend fun listMachineTypes(): List<MachineType> = emptyList()

        override suspend fun listMachines() = names.map { ListedMachine(it, "", "small", "z", false, "running", 0L) }

        override suspend fun scaleOut(request: ScaleOutRequest): ScaleOutResult = ScaleOutResult.NoCapacity

        override suspend fun scaleIn(names: List<String>) = Unit
    }

    @Test
    fun `baseline fleets of up to 6,000 machines fit the store's transactions of any permitted number of changes`() = runTest {
        for (txnOps in listOf(2, 16, 24, 40)) {
            for (machines in listOf(1, 200, 4_000, 6_000)) {
                val names = List(machines) { "host-%06d".format(it + 998_000) }
                val (store, loaded) = loadTwice(names, txnOps)
                assertEquals(
                    emptyList<String>(),
                    store.oversizedTransactions,
                    "$machines machines, $txnOps changes: exceeds the store's limits",
                )
                assertEquals(names.toSet(), loaded.first)
                assertEquals(names.toSet(), loaded.second, "the next leader reads all names back")
            }
        }
    }

    private suspend fun TestScope.loadTwice(names: List<String>, txnOps: Int): Pair<SimStore, Pair<Set<String>?, Set<String>?>> {
        val clock = Clock { testScheduler.currentTime * 1_000 + 1 }
        val store = SimStore(backgroundScope, clock, Random(1))
        store.maxTransactionOperations = txnOps
        store.maxValueBytes = 16 * 1024
        val client = store.clientOf("mast-0")
        client.commit(emptyList(), listOf(Write.Put(LeaderKeys.LEADER, emptyMap())))
        val limits = StoreLimits(rps = 100.0, writeRps = 30.0, valueBytes = store.maxValueBytes, txnOps = txnOps)
        val term = testTerm(client, backgroundScope, clock, limits)
        fun baselineFleetStore() = BaselineFleetStore(term, FixedListCloud(names), listLagMicros = 10_000_000)
        return store to (baselineFleetStore().loadOrCreate() to baselineFleetStore().loadOrCreate())
    }
}

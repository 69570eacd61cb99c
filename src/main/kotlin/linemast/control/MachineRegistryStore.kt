package linemast.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.leadership.LeaderLease
import linemast.store.CommitResult
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.Write
import linemast.store.listAll
import linemast.store.storeResultOrNull
import linemast.workers.MachineRegistry
import org.slf4j.LoggerFactory

/** Keeps the stored list of machines that may run tasks. */
internal class MachineRegistryStore(
    private val store: KeyValueStore,
    private val scope: CoroutineScope,
    private val leaderLease: LeaderLease,
    private val types: () -> Map<String, MachineType>,
    valueBytes: Int,
    /** Runs an action in the turn of the coroutine that owns the cluster state. */
    private val onLeaderLoop: suspend (() -> Unit) -> Unit,
) {
    private val log = LoggerFactory.getLogger(MachineRegistryStore::class.java)
    private val record = MachineRegistry(valueBytes)
    private val writes = Mutex()
    private var storing = false

    /** The machines that the store holds, for a new leader. */
    suspend fun load(): List<Machine> = record.read(store.listAll(MachineRegistry.PREFIX).entries, types())

    /** Stores [machines], one call at a time, and tells when that is done. */
    fun add(machines: List<Machine>, onStored: () -> Unit) {
        if (storing) return
        storing = true
        scope.launch {
            val stored = write { record.with(machines) }
            onLeaderLoop {
                storing = false
                if (stored) onStored()
            }
        }
    }

    fun remove(names: List<String>) {
        scope.launch { write { record.without(names) } }
    }

    /** Changes the record, one change at a time; after any doubt it is read again. */
    private suspend fun write(change: () -> Map<String, Map<String, Any?>>): Boolean = writes.withLock {
        for ((key, value) in change()) {
            val preconditions = listOf(leaderLease.fence, Precondition(key, record.revisionOf(key)))
            val result = storeResultOrNull(log) { store.commit(preconditions, listOf(Write.Put(key, value))) }
            if (result is CommitResult.Applied) {
                record.written(key, result.revision)
            } else {
                storeResultOrNull(log) { load() }
                return@withLock false
            }
        }
        true
    }
}

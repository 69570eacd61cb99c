package linemast.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.leadership.Authority
import linemast.store.CommitResult
import linemast.store.Condition
import linemast.store.Store
import linemast.store.Write
import linemast.store.attempt
import linemast.store.listAll
import linemast.workers.FleetRecord
import org.slf4j.LoggerFactory

/** Keeps the stored list of machines that may run tasks. */
internal class FleetStore(
    private val store: Store,
    private val scope: CoroutineScope,
    private val authority: Authority,
    private val types: () -> Map<String, MachineType>,
    valueBytes: Int,
    /** Runs an action in the turn of the coroutine that owns the cluster state. */
    private val onLeaderLoop: suspend (() -> Unit) -> Unit,
) {
    private val log = LoggerFactory.getLogger(FleetStore::class.java)
    private val record = FleetRecord(valueBytes)
    private val writes = Mutex()
    private var storing = false

    /** The machines that the store holds, for a new leader. */
    suspend fun load(): List<Machine> = record.read(store.listAll(FleetRecord.PREFIX).items, types())

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
            val conditions = listOf(authority.fence, Condition(key, record.versionOf(key)))
            val result = attempt(log) { store.commit(conditions, listOf(Write.Put(key, value))) }
            if (result is CommitResult.Applied) {
                record.written(key, result.revision)
            } else {
                attempt(log) { load() }
                return@withLock false
            }
        }
        true
    }
}

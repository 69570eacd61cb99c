package linemast.control

import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import linemast.domain.Machine
import linemast.scheduling.Cluster
import linemast.store.Precondition
import linemast.store.Write
import linemast.store.listAll
import linemast.store.storeResultOrNull
import linemast.workers.MachineRegistry
import org.slf4j.LoggerFactory

/** Keeps the stored list of machines that may run tasks. */
internal class MachineRegistryStore(private val term: LeaderTerm, private val cluster: Cluster) {
    private val log = LoggerFactory.getLogger(MachineRegistryStore::class.java)
    private val registry = MachineRegistry(term.limits.maxValueBytes)
    private val writes = Mutex()
    private var isAdding = false

    /** The machines that the store holds; those of unknown types are left out. */
    suspend fun load(): List<Machine> = registry.read(term.store.listAll(MachineRegistry.KEY_PREFIX).entries, cluster.machineTypes)

    /** Stores [machines] and calls [onStored] in the leader's event loop; does nothing while an earlier call is under way. */
    fun add(machines: List<Machine>, onStored: () -> Unit) {
        if (isAdding) return
        isAdding = true
        term.scope.launch {
            val stored = write { registry.register(machines) }
            term.loop.run {
                isAdding = false
                if (stored) onStored()
            }
        }
    }

    /** Deletes the machines with [names] from the list; a failure leaves them there. */
    fun remove(names: List<String>) {
        term.scope.launch { write { registry.unregister(names) } }
    }

    /** Writes one change of the list at a time; after a write without a definite result the list is read again. */
    private suspend fun write(change: () -> Map<String, Map<String, Any?>>): Boolean = writes.withLock {
        for ((key, value) in change()) {
            val preconditions = listOf(Precondition(key, registry.revisionOf(key)))
            val result = storeResultOrNull(log) { term.commit(preconditions, listOf(Write.Put(key, value))) }
            if (result is TermCommitResult.Applied) {
                registry.recordWritten(key, result.revision)
            } else {
                storeResultOrNull(log) { load() }
                return@withLock false
            }
        }
        true
    }
}

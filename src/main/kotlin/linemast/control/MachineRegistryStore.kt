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
    private val writeMutex = Mutex()
    private var isRegistering = false

    /** The machines that the store holds; those of unknown types are left out. */
    suspend fun load(): List<Machine> = registry.read(term.store.listAll(MachineRegistry.PREFIX).entries, cluster.types)

    /** Stores [machines] and calls [onStored] in the leader's event loop; does nothing while an earlier call is under way. */
    fun register(machines: List<Machine>, onStored: () -> Unit) {
        if (isRegistering) return
        isRegistering = true
        term.scope.launch {
            val isStored = write { registry.with(machines) }
            term.eventLoop.enqueue {
                isRegistering = false
                if (isStored) onStored()
            }
        }
    }

    /** Deletes the machines with [names] from the list; a failure leaves them there. */
    fun unregister(names: List<String>) {
        term.scope.launch { write { registry.without(names) } }
    }

    /** Writes one change of the list at a time; after a write without a definite result the list is read again. */
    private suspend fun write(change: () -> Map<String, Map<String, Any?>>): Boolean = writeMutex.withLock {
        for ((key, value) in change()) {
            val preconditions = listOf(Precondition(key, registry.revisionOf(key)))
            val result = storeResultOrNull(log) { term.commit(preconditions, listOf(Write.Put(key, value))) }
            if (result is TermCommitResult.Applied) {
                registry.written(key, result.revision)
            } else {
                storeResultOrNull(log) { load() }
                return@withLock false
            }
        }
        true
    }
}

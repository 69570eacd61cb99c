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

/** Reads and writes the stored registry of machines that may run tasks. */
internal class MachineRegistryStore(private val term: LeaderTerm, private val cluster: Cluster) {
    private val log = LoggerFactory.getLogger(MachineRegistryStore::class.java)
    private val registry = MachineRegistry(term.limits.maxValueBytes)
    private val writeMutex = Mutex()
    private var isRegistering = false

    /** Reads the registered machines from the store; machines of unknown types are left out. */
    suspend fun load(): List<Machine> = registry.read(term.store.listAll(MachineRegistry.KEY_PREFIX).entries, cluster.machineTypes)

    /** Registers [machines], then calls [onStored] on the event loop; does nothing while an earlier call is in progress. */
    fun register(machines: List<Machine>, onStored: () -> Unit) {
        if (isRegistering) return
        isRegistering = true
        term.scope.launch {
            val isStored = write { registry.register(machines) }
            term.eventLoop.enqueue {
                isRegistering = false
                if (isStored) onStored()
            }
        }
    }

    /** Unregisters the machines with [names]; if the write fails, they stay registered. */
    fun unregister(names: List<String>) {
        term.scope.launch { write { registry.unregister(names) } }
    }

    /** Writes one change of the registry at a time; reads the registry again after a write that was not confirmed as applied. */
    private suspend fun write(change: () -> Map<String, Map<String, Any?>>): Boolean = writeMutex.withLock {
        for ((key, value) in change()) {
            val preconditions = listOf(Precondition(key, registry.revisionOf(key)))
            val result = storeResultOrNull(log) {
                term.commit(preconditions, listOf(Write.Put(key, value)))
            }
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

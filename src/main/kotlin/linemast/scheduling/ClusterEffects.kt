package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine

/**
 * Writes to the store that the cluster state requests.
 *
 * Calls return at once. The coroutine that owns the cluster state applies the outcome of each write to it.
 */
interface ClusterEffects {
    /** Persists that tasks of [job] may be started from now on. */
    fun persistActivation(job: Job)

    /** Persists the dirty parts of the set of completed tasks of [job], or the end of [job] once all its tasks are completed. */
    fun persistProgress(job: Job)

    /** Registers [machines] in the store as machines that may run tasks. */
    fun registerMachines(machines: List<Machine>)

    /** Unregisters the machines [names], which run no tasks any more. */
    fun unregisterMachines(names: List<String>)

    /** Deletes the open record of [job], which is cancelled and has no task left on any machine. */
    fun deleteCancelledJob(job: Job)
}

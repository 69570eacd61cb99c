package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine

/**
 * Writes to the store that the cluster state asks for.
 *
 * Calls return at once. The outcome of a write is taken back into the state by the coroutine that owns it.
 */
interface ClusterEffects {
    /** Store that tasks of [job] may be started from now on. */
    fun persistActivation(job: Job)

    /** Store the dirty parts of the job's set of completed tasks, or its end when it is done. */
    fun persistProgress(job: Job)

    /** Register [machines] as ones that may run tasks. */
    fun registerMachines(machines: List<Machine>)

    /** Unregister the machines [names], which run nothing any more. */
    fun unregisterMachines(names: List<String>)

    /** Delete the open record of [job], which is cancelled and has no task left on any machine. */
    fun deleteCancelled(job: Job)
}

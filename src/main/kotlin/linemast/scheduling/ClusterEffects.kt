package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine

/** What the leader's state wants done in the outside world. */
interface ClusterEffects {
    /** Store that tasks of this job may be started from now on. */
    fun storeOpened(job: Job)

    /** Store the changed parts of its done set, and its end when it is done. */
    fun storeDone(job: Job)

    /** Store that these machines may run tasks. */
    fun storeMachines(machines: List<Machine>)

    /** Store that these machines run nothing any more. */
    fun dropMachines(names: List<String>)

    /** A cancelled job has no task left anywhere: drop its open record. */
    fun dropCancelled(job: Job)
}

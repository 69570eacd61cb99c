package linemast.domain

/** Why the scheduler placed no task of a job that has pending tasks. */
sealed interface PendingReason {
    /** The reason as it stands in the log, after `pending: `. */
    val description: String

    /** Nothing but its team's quota limit stands against placing it. */
    data object QuotaLimit : PendingReason {
        override val description get() = "quota limit"
    }

    /** No machine that it may use has enough free capacity. */
    data object NoFreeCapacity : PendingReason {
        override val description get() = "no free capacity"
    }

    /** Machines are reserved for the gang, and the tasks on them are being preempted. */
    data object PreemptionInProgress : PendingReason {
        override val description get() = "preemption in progress"
    }

    /** No machine of the fleet may run its tasks, whatever its free capacity. */
    data object NoFeasibleMachine : PendingReason {
        override val description get() = "no feasible machine"
    }

    /** Its tasks have failed [failures] times in a row; the next attempt waits out a back-off. */
    data class BackOff(val failures: Int) : PendingReason {
        override val description get() = "back-off after $failures failures"
    }

    /** Tasks that a previous leader started may still be running on machines that have not reported to this one. */
    data object UnconfirmedTasks : PendingReason {
        override val description get() = "tasks of a previous leader unconfirmed"
    }

    /** The store does not know yet that tasks of it may be started. */
    data object NotActivated : PendingReason {
        override val description get() = "not opened yet"
    }
}

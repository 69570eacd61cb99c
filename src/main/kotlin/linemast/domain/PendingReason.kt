package linemast.domain

/** Why the scheduler placed no task of a job that has pending tasks. */
sealed interface PendingReason {
    /** Text of the reason in the log, after `pending: `. */
    val description: String

    /** Whether a limit on the number of tasks keeps the job pending, so that each acknowledged end of a task makes room for another. */
    val isTaskLimit: Boolean get() = this is MachineTaskLimit || this is LeaderTaskLimit

    /** Only the quota limit of the job's team prevents the placement. */
    data object QuotaLimit : PendingReason {
        override val description get() = "quota limit"
    }

    /** No machine that the job may use has enough free capacity. */
    data object NoFreeCapacity : PendingReason {
        override val description get() = "no free capacity"
    }

    /** Machines have free resources, but their heartbeats can list no more tasks; see [HeartbeatSize]. */
    data object MachineTaskLimit : PendingReason {
        override val description get() = "the machines with free resources hold as many tasks as their heartbeats can list"
    }

    /** The leader holds as many tasks as it may. */
    data object LeaderTaskLimit : PendingReason {
        override val description get() = "task limit of the leader"
    }

    /** Machines are reserved for the gang, and tasks on these machines are being preempted. */
    data object PreemptionInProgress : PendingReason {
        override val description get() = "preemption in progress"
    }

    /** No machine of the fleet may run the job's tasks, whatever capacity is free. */
    data object NoFeasibleMachine : PendingReason {
        override val description get() = "no feasible machine"
    }

    /** The job's tasks have failed [failures] times in a row, and the back-off before the next attempt has not ended. */
    data class BackOff(val failures: Int) : PendingReason {
        override val description get() = "back-off after $failures failures"
    }

    /** Tasks that a previous leader started may still be running on machines that have sent this leader no heartbeat. */
    data object UnconfirmedTasks : PendingReason {
        override val description get() = "tasks of a previous leader unconfirmed"
    }

    /** The store does not record yet that tasks of the job may be started; see [Job.Activation]. */
    data object NotActivated : PendingReason {
        override val description get() = "activation not yet recorded in the store"
    }
}

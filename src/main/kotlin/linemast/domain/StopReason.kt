package linemast.domain

/** Why the leader stops a task although its job is neither cancelled nor done. */
sealed interface StopReason {
    /** Text of the reason in the log. */
    val description: String

    /** Another [team] uses less than its quota, and the task occupies capacity that this team needs. */
    data class PreemptedForQuota(val team: String) : StopReason {
        override val description get() = "preempted: team $team needs the capacity for its quota"
    }

    /** The more urgent [gang] of the same team exceeds the team's quota limit unless the task is stopped. */
    data class PreemptedAtQuotaLimit(val gang: String) : StopReason {
        override val description get() = "preempted: gang $gang would otherwise exceed the quota limit of its team"
    }

    /** The more urgent [gang] needs the capacity that the task uses on its machine. */
    data class PreemptedForGang(val gang: String) : StopReason {
        override val description get() = "preempted: gang $gang needs the capacity on the machine"
    }

    /** The cloud preempts the spot machine [machineName]; the task writes a checkpoint before that. */
    data class MachinePreempted(val machineName: String) : StopReason {
        override val description get() = "stopped to write a checkpoint: the cloud preempts $machineName"
    }
}

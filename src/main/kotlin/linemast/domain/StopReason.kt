package linemast.domain

/** Why the leader stops a task of a job that is neither cancelled nor done. */
sealed interface StopReason {
    /** The reason as it stands in the log. */
    val description: String

    /** Another [team] runs less than its quota, and the task uses the capacity that is missing there. */
    data class PreemptedForQuota(val team: String) : StopReason {
        override val description get() = "preempted: quota of $team"
    }

    /** The more urgent [gang] of the same team does not fit within the team's quota limit otherwise. */
    data class PreemptedAtQuotaLimit(val gang: String) : StopReason {
        override val description get() = "preempted: quota limit of the team, for $gang"
    }

    /** The more urgent [gang] needs the capacity on the task's machine. */
    data class PreemptedForGang(val gang: String) : StopReason {
        override val description get() = "preempted: capacity for $gang"
    }

    /** The cloud takes the spot machine [machineName] away; the task saves its progress before. */
    data class MachinePreempted(val machineName: String) : StopReason {
        override val description get() = "$machineName is preempted"
    }
}

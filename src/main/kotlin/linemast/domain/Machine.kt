package linemast.domain

/**
 * A machine whose worker has sent heartbeats, or that is registered in the store as one that may run tasks.
 *
 * @property name name that the cloud gave it; never reused.
 * @property type its machine type.
 * @property zone zone of the cloud that it stands in.
 * @property spot whether it is a spot machine, which the cloud may preempt.
 */
class Machine(val name: String, val type: MachineType, val zone: String, val spot: Boolean) {
    /** What it has in common with other machines as far as placing a job goes. */
    val shape = MachineShape(type, zone, spot)

    /** Order of its heartbeats, and whether responses reach its worker. */
    val heartbeats = HeartbeatSequence()

    /** Used and free resources. */
    val capacity = MachineCapacity(type)

    /** From here on the worker's lease has surely expired, unless another heartbeat is answered. */
    var leaseEndMicros = 0L

    /** Time until the cloud preempts it, by the last heartbeat; null if no preemption was announced. */
    var preemptionNoticeMicros: Long? = null

    /** Whether it may hold tasks that a previous leader started and that this one has not seen. */
    var registeredByPreviousLeader = false

    /** Placements by task and attempt, so that two attempts of one task both count. */
    val placements = LinkedHashMap<TaskAttempt, Placement>()

    /** Ended tasks of the last heartbeat, to be acknowledged once their results are stored. */
    val endedTasks = LinkedHashMap<TaskAttempt, TaskStatus>()

    /** Whether its name is stored among those that may run tasks. */
    var isRegistered = false

    /** Whether it belongs to the baseline fleet, which is never scaled in. */
    var isBaseline = false

    /** Whether it gets no further starts: it is being scaled in, preempted by the cloud, or quarantined. */
    var draining = false

    /** Jobs that failed here since a task was last completed here. */
    val failedJobs = HashSet<String>()

    /** The job that its free resources are kept for while other tasks are preempted for it; null if there is none. */
    var reservation: Reservation? = null

    /** When it last held a task, or when its first heartbeat came; 0 before that. */
    var idleSinceMicros = 0L

    /** Images that its worker has fetched in this incarnation. */
    val images = LinkedHashSet<String>()

    /** Price of one vcpu for an hour. */
    val pricePerVcpu: Double = (if (spot) type.spotPrice else type.price) / type.vcpus

    /** See [HeartbeatSequence.fencingToken]. */
    val fencingToken: Long get() = heartbeats.fencingToken

    /** See [HeartbeatSequence.lastMicros]. */
    val lastHeartbeatMicros: Long get() = heartbeats.lastMicros

    /** See [HeartbeatSequence.acknowledgesResponses]. */
    val acknowledgesResponses: Boolean get() = heartbeats.acknowledgesResponses

    /** See [HeartbeatSequence.unacknowledgedSinceMicros]. */
    val unacknowledgedSinceMicros: Long get() = heartbeats.unacknowledgedSinceMicros

    /** See [MachineCapacity.freeVcpus]. */
    val freeVcpus: Double get() = capacity.freeVcpus

    /** The job that its free resources are kept for; null if there is none. */
    val reservedFor: Job? get() = reservation?.job

    /** Whether a heartbeat has come to this leader. */
    val hasReported: Boolean get() = heartbeats.lastMicros > HeartbeatSequence.NEVER

    /** Whether a task of [spec] may be here at all. */
    fun allows(spec: JobSpec): Boolean = shape.allows(spec)

    /** Whether a task of [job] fits the free resources. */
    fun fits(job: Job): Boolean = capacity.fits(job.spec)

    /** Upper bound of the tasks of [spec] that fit the free resources. */
    fun freeSlots(spec: JobSpec): Int = capacity.freeSlots(spec)

    /** Adds a placement and counts its resources as used. */
    fun add(placement: Placement) {
        placements[placement.key] = placement
        capacity.allocate(placement.job?.spec)
    }

    /** Removes a placement and frees its resources. */
    fun remove(placement: Placement) {
        if (placements.remove(placement.key) != null) capacity.release(placement.job?.spec)
    }
}

/** Free resources of a machine that are kept for [job] until [untilMicros]. */
class Reservation(val job: Job, val untilMicros: Long)

package linemast.domain

/**
 * A machine whose worker has sent heartbeats, or that is registered in the store as a machine that may run tasks.
 *
 * @property name name that the cloud gave the machine; never reused.
 * @property type machine type.
 * @property zone zone of the cloud that the machine is in.
 * @property spot whether the machine is a spot machine, which the cloud may preempt.
 */
class Machine(val name: String, val type: MachineType, val zone: String, val spot: Boolean) {
    /** The properties that decide which jobs may be placed here; many machines share one shape. */
    val shape = MachineShape(type, zone, spot)

    /** Order of the worker's heartbeats, and whether responses reach the worker. */
    val heartbeats = HeartbeatSequence()

    /** Used and free resources of the machine. */
    val capacity = MachineCapacity(type)

    /** From this time on the worker's lease has certainly expired, unless a leader responds to another heartbeat before. */
    var leaseEndMicros = 0L

    /** Time until the cloud preempts the machine, by the latest heartbeat; null if no preemption was announced. */
    var preemptionNoticeMicros: Long? = null

    /**
     * Whether the machine was registered when this leader loaded its state, so that the machine may have held tasks of a
     * previous leader that this leader had not seen yet.
     */
    var registeredByPreviousLeader = false

    /** Placements by task and attempt, so that two attempts of one task both count against the capacity. */
    val placements = LinkedHashMap<TaskAttempt, Placement>()

    private val endedTasksByKey = LinkedHashMap<TaskAttempt, TaskStatus>()

    /** Ended tasks in the latest heartbeat that the leader has not acknowledged; it does so once the result is stored. */
    val endedTasks: Collection<TaskStatus> get() = endedTasksByKey.values

    /** Whether the machine is registered in the store as one that may run tasks. */
    var isRegistered = false

    /**
     * Whether the machine belongs to the baseline fleet. An idle baseline machine is scaled in too: by default after a much longer time
     * than others while further jobs are expected.
     */
    var isBaseline = false

    /** Whether the machine's scale-in is decided and neither confirmed nor refused; it may take effect at any time. */
    var isScalingIn = false

    /** Whether the machine is fit to run tasks, as far as failures of tasks show it. */
    val health = MachineHealth()

    /** Reservation of the free resources for a job while other tasks are preempted for that job; null if there is none. */
    var reservation: Reservation? = null

    /** When the machine last held a task, or when its first heartbeat arrived; 0 before the first heartbeat. */
    var idleSinceMicros = 0L

    /** Images that the worker has fetched in its current incarnation. */
    val images = LinkedHashSet<String>()

    /** Price of one vcpu per hour. */
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

    /** The job that the free resources are reserved for; null if there is none. */
    val reservedFor: Job? get() = reservation?.job

    /**
     * Why no starts are sent to the machine; null if they are. Each reason has one owner, which also ends it: [isScalingIn] the outcome
     * of the scale-in, [preemptionNoticeMicros] the worker's heartbeats, and the quarantine the time ([MachineHealth]).
     */
    val drainReason: DrainReason?
        get() = when {
            isScalingIn -> DrainReason.SCALING_IN
            preemptionNoticeMicros != null -> DrainReason.PREEMPTION_NOTICE
            health.state == MachineHealth.State.QUARANTINED -> DrainReason.QUARANTINED
            else -> null
        }

    /** Whether no starts are sent to the machine. */
    val isDraining: Boolean get() = drainReason != null

    /** Whether a heartbeat of the worker has arrived at this leader. */
    val hasReported: Boolean get() = heartbeats.lastMicros > HeartbeatSequence.NEVER

    /** Whether a task of [spec] may ever run on this machine, whatever resources are free. */
    fun allows(spec: JobSpec): Boolean = shape.allows(spec)

    /** Whether one more task of [job] fits the free resources. On trial the machine takes one task at a time, and none of a gang. */
    fun fits(job: Job): Boolean = capacity.fits(job) && (health.state != MachineHealth.State.ON_TRIAL || isFitForTrial(job))

    private fun isFitForTrial(job: Job): Boolean = placements.isEmpty() && !job.spec.isGang

    /** Returns an upper bound of the number of tasks of [job] that fit the free resources. */
    fun freeSlots(job: Job): Int = capacity.freeSlots(job)

    /** Adds a placement and counts its resources as used. */
    fun add(placement: Placement) {
        placements[placement.key] = placement
        capacity.allocate(placement)
    }

    /** Removes a placement and frees its resources. */
    fun remove(placement: Placement) {
        if (placements.remove(placement.key) != null) capacity.release(placement)
    }

    /** Adds an ended task of the latest heartbeat, whose entry takes up at most [heartbeatEntryBytes]. */
    fun addEnded(task: TaskStatus, heartbeatEntryBytes: Int) {
        if (endedTasksByKey.put(task.key, task) == null) capacity.addEnded(heartbeatEntryBytes)
    }

    /** Removes an ended task that [addEnded] has added with the same size. */
    fun removeEnded(task: TaskStatus, heartbeatEntryBytes: Int) {
        if (endedTasksByKey.remove(task.key) != null) capacity.addEnded(-heartbeatEntryBytes)
    }

    /** Removes all ended tasks. */
    fun clearEnded() {
        endedTasksByKey.clear()
        capacity.clearEnded()
    }
}

/** A reservation of the free resources of a machine for [job] until [untilMicros]. */
class Reservation(val job: Job, val untilMicros: Long)

package linemast.domain

/** What the leader knows of a task that may be on a machine. */
class Placement(
    val machine: Machine,
    val task: TaskId,
    val attempt: Long,
    /** Null for a task of a job the leader does not know any more. */
    val job: Job?,
) {
    /** What is known of the task on its machine. */
    enum class Phase {
        /** Chosen, no command has left: may be dropped at will. */
        ASSIGNED,

        /** A start has left in an answer, and no newer report has come yet. */
        SENT,
        FETCHING,
        WAITING_FOR_GANG,
        RUNNING,
        SAVING,
    }

    var phase = Phase.ASSIGNED
    var sentMicros = 0L
    var runningSinceMicros = 0L

    /** Why it is being stopped; null while it is meant to go on. */
    var stopReason: StopReason? = null
    var stopGracePeriodMicros = 0L

    /** Whether an answer has told its worker to stop it. */
    var stopSent = false

    /** The first of a job after a long wait: not stopped to make room, or it might never get further. */
    var exemptFromPreemption = false

    /** The job it makes room for. */
    var preemptedFor: Job? = null

    val key = TaskAttempt(task, attempt)

    val isAssigned: Boolean get() = phase == Phase.ASSIGNED
    val isRunning: Boolean get() = phase == Phase.RUNNING
}

/** A machine whose worker has reported, or that is on record as one that may run tasks. */
class Machine(val name: String, val type: MachineType, val zone: String, val spot: Boolean) {
    val shape = MachineShape(type, zone, spot)
    var incarnation = 0L
    var sequenceNumber = 0L

    /** Highest fencing token the worker has shown. */
    var fencingToken = 0L

    /** When the last report came that was newer than all before it; 0 if none came to this leader. */
    var lastHeartbeatMicros = 0L

    /** From here on its worker has surely ended its session, unless another report is answered. */
    var leaseEndMicros = 0L

    var preemptionNoticeMicros: Long? = null

    /** May hold tasks that an earlier leader started and this one has not seen. */
    var inherited = false

    /** Whether the answer to its report before the last one reached it; without that no start is sent. */
    var acknowledgesResponses = false

    /** Since when its reports come but no answer seems to reach it; 0 while that is not so. */
    var unacknowledgedSinceMicros = 0L

    /** The latest report that was older than one before it: see [restarted]. */
    private var olderIncarnation = 0L
    private var olderSequenceNumber = 0L
    private var olderMicros = 0L

    /**
     * Whether [heartbeat] is newer than all before it, and surely of the same worker.
     *
     * A machine that was back at once counts from the start again, and a late copy from before then counts further.
     * It shows in one of these: a fencing token below one shown before, which a worker never forgets; more reports than a worker
     * sends in the time; a session that the earlier worker had reached, or one that cannot have begun yet.
     */
    fun isNewer(heartbeat: Heartbeat, nowMicros: Long): Boolean {
        if (heartbeat.incarnation < incarnation ||
            (heartbeat.incarnation == incarnation && heartbeat.sequenceNumber <= sequenceNumber)
        ) {
            return false
        }
        if (lastHeartbeatMicros == 0L) return true
        val most = (nowMicros - lastHeartbeatMicros) / MIN_BETWEEN_MICROS + MAX_HELD_BACK
        val plausible = if (heartbeat.incarnation ==
            incarnation
        ) {
            heartbeat.sequenceNumber - sequenceNumber <= most
        } else {
            heartbeat.incarnation > previousIncarnation && nowMicros >= incarnationSafeMicros
        }
        return plausible && heartbeat.fencingToken >= fencingToken
    }

    /** Until then the worker's session cannot end: an answer reached it to a report sent less than a lease before. */
    private var incarnationSafeMicros = 0L

    /** When the report before the last one came, in this session; the last one was sent after it. */
    private var beforeMicros = 0L

    /** The furthest session of a worker that has begun from the start since. */
    private var previousIncarnation = 0L

    /**
     * Whether [heartbeat], which is not newer than those before it, comes from a worker that has begun from the start.
     *
     * A single one may be a late copy. Two that follow each other, after the lease that the leader's records give the
     * earlier worker is over, are not: that worker would have reported, and would count further.
     */
    fun restarted(heartbeat: Heartbeat, nowMicros: Long, maxBetweenMicros: Long): Boolean {
        val watches =
            heartbeat.incarnation == olderIncarnation &&
                heartbeat.sequenceNumber > olderSequenceNumber &&
                nowMicros - olderMicros <= maxBetweenMicros
        olderIncarnation = heartbeat.incarnation
        olderSequenceNumber = heartbeat.sequenceNumber
        olderMicros = nowMicros
        if (!watches || nowMicros < leaseEndMicros) return false
        previousIncarnation = maxOf(previousIncarnation, incarnation)
        incarnationSafeMicros = 0
        beforeMicros = 0
        fencingToken = 0
        return true
    }

    /** Whether the worker counts sessions that an earlier one had reached: late copies of that one's reports look like its own. */
    val isAmbiguous: Boolean get() = incarnation <= previousIncarnation

    /**
     * Whether [heartbeat] is of this session and lacks a task that this session has reported and not ended. A worker lists its
     * tasks until it is told to acknowledge them: such a report is a late copy from before a restart, whatever it counts.
     */
    fun contradicts(heartbeat: Heartbeat): Boolean {
        if (heartbeat.incarnation != incarnation) return false
        val listed = heartbeat.tasks.mapTo(HashSet()) { it.key }
        return placements.values.any { !it.isAssigned && it.phase != Placement.Phase.SENT && it.key !in listed }
    }

    /** Takes note of whether answers reach the worker, from how soon its next report came. */
    fun heardAgain(heartbeat: Heartbeat, nowMicros: Long, maxBetweenMicros: Long, leaseMicros: Long) {
        acknowledgesResponses =
            lastHeartbeatMicros > 0 &&
            heartbeat.incarnation == incarnation &&
            nowMicros - lastHeartbeatMicros <= maxBetweenMicros
        if (acknowledgesResponses || lastHeartbeatMicros == 0L) {
            unacknowledgedSinceMicros = 0
        } else if (unacknowledgedSinceMicros == 0L) {
            unacknowledgedSinceMicros = nowMicros
        }
        if (acknowledgesResponses && beforeMicros > 0) incarnationSafeMicros = beforeMicros + leaseMicros
        beforeMicros = if (heartbeat.incarnation == incarnation) lastHeartbeatMicros else 0L
    }

    /** By task and attempt, so that two attempts of one task both count. */
    val placements = LinkedHashMap<TaskAttempt, Placement>()

    /** Ended tasks to be acknowledged once their result is stored. */
    val ended = LinkedHashMap<TaskAttempt, TaskStatus>()

    /** Whether its name is stored among those that may run tasks. */
    var isRegistered = false

    /** Part of the standing fleet: never returned by the planner. */
    var baseline = false

    /** No further starts: being returned, preempted, or found faulty. */
    var draining = false

    /** Jobs that failed here since a task was last completed here. */
    val failedJobs = HashSet<String>()

    /** Kept free for this job while tasks are stopped to make room for it. */
    var reservedFor: Job? = null
    var reservedUntilMicros = 0L
    var idleSinceMicros = 0L
    val images = LinkedHashSet<String>()

    var usedVcpus = 0.0
        private set
    var usedGpus = 0.0
        private set
    var usedMemoryGb = 0.0
        private set

    val pricePerVcpu: Double = (if (spot) type.spotPrice else type.price) / type.vcpus

    val freeVcpus: Double get() = type.vcpus - usedVcpus

    /** Whether a task of [spec] may be here at all. */
    fun allows(spec: JobSpec): Boolean = shape.allows(spec)

    /** Tasks of [spec] that could be put here now, by what it has most of: an upper bound that counts vcpus alone. */
    fun freeSlots(spec: JobSpec): Int =
        if (spec.vcpus <= 0) Int.MAX_VALUE / 2 else Math.floor(freeVcpus / spec.vcpus + EPSILON).toInt().coerceAtLeast(0)

    /** Whether a task of [job] fits what is free. */
    fun fits(job: Job): Boolean = job.spec.let {
        it.vcpus <= type.vcpus - usedVcpus + EPSILON &&
            it.gpus <= type.gpus - usedGpus + EPSILON &&
            it.memoryGb <= type.memoryGb - usedMemoryGb + EPSILON
    }

    /** Takes a placement and counts what it uses. */
    fun put(placement: Placement) {
        placements[placement.key] = placement
        count(placement, 1)
    }

    /** Forgets a placement and what it used. */
    fun remove(placement: Placement) {
        if (placements.remove(placement.key) != null) count(placement, -1)
    }

    private fun count(placement: Placement, sign: Int) {
        // A task of an unknown job takes an unknown amount: the whole machine, until it is gone.
        val spec = placement.job?.spec
        usedVcpus += sign * (spec?.vcpus ?: type.vcpus)
        usedGpus += sign * (spec?.gpus ?: type.gpus)
        usedMemoryGb += sign * (spec?.memoryGb ?: type.memoryGb)
    }

    companion object {
        private const val EPSILON = 1e-6

        /** A worker never reports more often. */
        private const val MIN_BETWEEN_MICROS = 500_000L

        /** Reports that a cut may hold back and deliver together. */
        private const val MAX_HELD_BACK = 4L
    }
}

package linemast.domain

/** One heartbeat of a worker: who it is, what it runs, and how far it knows the leader. */
class Heartbeat(
    /** Name that the cloud gave the machine. */
    val machineName: String,
    /** Address under which users reach the machine's tasks. */
    val address: String,
    /** Name of the machine type. */
    val machineType: String,
    /** Zone of the cloud that the machine stands in. */
    val zone: String,
    /** Whether it is a spot machine, which the cloud may preempt. */
    val spot: Boolean,
    /** Grows each time the worker's lease expires; all tasks of an earlier incarnation have ended. */
    val incarnation: Long,
    /** Grows with each heartbeat of an incarnation. */
    val sequenceNumber: Long,
    /** The highest fencing token that the worker has seen; 0 if it has seen none. */
    val fencingToken: Long,
    /** Time until the cloud preempts the machine; null if no preemption was announced. */
    val preemptionNoticeMicros: Long?,
    /** All tasks that the worker holds, ended ones until their end is acknowledged. */
    val tasks: List<TaskStatus>,
)

package linemast.domain

/** One heartbeat of a worker: its machine, its tasks, and the highest fencing token that it has seen. */
class Heartbeat(
    /** Name that the cloud gave the machine. */
    val machineName: String,
    /** Address under which users reach the machine's tasks. */
    val address: String,
    /** Name of the machine type. */
    val machineType: String,
    /** Zone of the cloud that the machine is in. */
    val zone: String,
    /** Whether it is a spot machine, which the cloud may preempt. */
    val spot: Boolean,
    /** Increases each time the worker's lease expires; all tasks of an earlier incarnation have ended. */
    val incarnation: Long,
    /** Increases with each heartbeat of an incarnation. */
    val sequenceNumber: Long,
    /** The highest fencing token that the worker has seen; 0 if it has seen none. */
    val fencingToken: Long,
    /** Time until the cloud preempts the machine; null if no preemption was announced. */
    val preemptionNoticeMicros: Long?,
    /** All tasks that the worker holds. Ended tasks are included until the leader has acknowledged their end. */
    val tasks: List<TaskStatus>,
)

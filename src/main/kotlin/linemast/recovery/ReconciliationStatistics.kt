package linemast.recovery

import linemast.domain.TaskAttempt
import java.util.EnumMap

/** Counts the differences that a new leader finds, and the commands that it sends, until its reconciliation is complete. */
class ReconciliationStatistics {
    /** Kinds of differences between what workers report and what the store holds. */
    enum class Difference {
        /** A running task of a previous leader that the new leader adopts without a command. */
        ADOPTED,

        /** A result that a worker reports and the store did not have. */
        UNSTORED_RESULT,

        /** A task or result of a job that is unknown to the leader. */
        UNKNOWN,

        /** A task that was lost with its machine, or that the machine's worker no longer reports. */
        LOST,
    }

    /** Kinds of commands to workers. */
    enum class Command {
        /** Start a task. */
        START,

        /** Stop a task. */
        STOP,

        /** Acknowledge an ended task, so that the worker removes its result. */
        ACKNOWLEDGE,
    }

    private val differences = EnumMap<Difference, Int>(Difference::class.java)
    private val commands = EnumMap<Command, Int>(Command::class.java)
    private val unknownTasks = HashSet<TaskAttempt>()
    private val reportingMachines = HashSet<String>()

    /** Number of workers that have sent a heartbeat. */
    val reportingWorkerCount: Int get() = reportingMachines.size

    /** Records a heartbeat of the worker on [machineName]. */
    fun recordHeartbeat(machineName: String) {
        reportingMachines += machineName
    }

    /** Counts one [difference]. */
    fun count(difference: Difference) {
        differences.merge(difference, 1, Int::plus)
    }

    /** Counts [task], whose job is unknown to the leader, only once regardless of how often it is reported. */
    fun countUnknown(task: TaskAttempt) {
        if (unknownTasks.add(task)) count(Difference.UNKNOWN)
    }

    /** Counts [count] commands. */
    fun count(command: Command, count: Int = 1) {
        if (count > 0) commands.merge(command, count, Int::plus)
    }

    /** Returns the number of differences of the given kind. */
    fun countOf(difference: Difference): Int = differences[difference] ?: 0

    /** Returns the number of commands of the given kind. */
    fun countOf(command: Command): Int = commands[command] ?: 0
}

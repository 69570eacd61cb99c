package linemast.recovery

import linemast.domain.TaskAttempt
import java.util.EnumMap

/** Counts the differences that a new leader finds, and the commands that it sends, until reconciliation is complete. */
class ReconciliationStatistics {
    /** Kinds of differences between what workers report and what the store holds. */
    enum class Difference {
        /** A running task that the new leader adopts as it is. */
        ADOPTED,

        /** A result that the store did not have. */
        UNSTORED_RESULT,

        /** A task or result of a job that the leader does not know. */
        UNKNOWN,

        /** A task that was lost with its machine, or is missing there. */
        LOST,
    }

    /** Kinds of commands to workers. */
    enum class Command {
        /** Start a task. */
        START,

        /** Stop a task. */
        STOP,

        /** Forget an ended task. */
        ACKNOWLEDGE,
    }

    private val differences = EnumMap<Difference, Int>(Difference::class.java)
    private val commands = EnumMap<Command, Int>(Command::class.java)
    private val unknownTasks = HashSet<TaskAttempt>()
    private val reportingMachines = HashSet<String>()

    /** Number of workers that have sent a heartbeat. */
    val reportingWorkerCount: Int get() = reportingMachines.size

    /** Takes note of a heartbeat of the worker on [machineName]. */
    fun recordHeartbeat(machineName: String) {
        reportingMachines += machineName
    }

    /** Counts one [difference]. */
    fun count(difference: Difference) {
        differences.merge(difference, 1, Int::plus)
    }

    /** Counts [task], whose job the leader does not know, once however often it is reported. */
    fun countUnknown(task: TaskAttempt) {
        if (unknownTasks.add(task)) count(Difference.UNKNOWN)
    }

    /** Counts [count] commands. */
    fun count(command: Command, count: Int = 1) {
        if (count > 0) commands.merge(command, count, Int::plus)
    }

    /** How many differences of one kind were counted. */
    fun countOf(difference: Difference): Int = differences[difference] ?: 0

    /** How many commands of one kind were counted. */
    fun countOf(command: Command): Int = commands[command] ?: 0
}

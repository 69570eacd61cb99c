package linemast.scheduling

import linemast.domain.Command

/** The commands of one response, bounded by the protocol's limit on the size of a response in its JSON form. */
internal class CommandList {
    private val mutableCommands = ArrayList<Command>()
    private var freeBytes = CAPACITY_BYTES

    /** The commands in the order in which the worker executes them. */
    val commands: List<Command> get() = mutableCommands

    /** Whether the response may have no room for a further command. */
    val isFull: Boolean get() = freeBytes < MAX_COMMAND_BYTES

    /** Appends [command], which the response must have room for. */
    fun add(command: Command) {
        mutableCommands += command
        freeBytes -= sizeOf(command)
    }

    companion object {
        /** The protocol's limit of 64 KiB less the other fields of a response. */
        private const val CAPACITY_BYTES = 64 * 1024 - 64

        /** The punctuation, the field names and the verb of a command. */
        private const val COMMAND_BYTES = 35

        /** The field of a stop with the time for a checkpoint. */
        private const val GRACE_PERIOD_BYTES = 40

        /** The size of a stop with the longest job id, task index and attempt number. */
        private const val MAX_COMMAND_BYTES = COMMAND_BYTES + GRACE_PERIOD_BYTES + 22 + 1 + 10 + 20

        /** Returns the most bytes that [command] takes up in the JSON form of a response. */
        fun sizeOf(command: Command): Int = COMMAND_BYTES + command.task.toString().length + command.attempt.toString().length +
            if (command is Command.Stop) GRACE_PERIOD_BYTES else 0
    }
}

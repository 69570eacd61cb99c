package linemast.workers

import linemast.domain.Command
import linemast.domain.EndCause
import linemast.domain.Heartbeat
import linemast.domain.TaskId
import linemast.domain.TaskState
import linemast.domain.TaskStatus
import linemast.serialization.Fields
import linemast.serialization.MalformedException

/** Decodes heartbeats of workers and encodes the responses to them; see docs/glossary.md for the names on the wire. */
object HeartbeatCodec {
    private val states = mapOf(
        "fetching" to TaskState.FETCHING,
        "gathering" to TaskState.WAITING_FOR_GANG,
        "running" to TaskState.RUNNING,
        "saving" to TaskState.CHECKPOINTING,
        "ended" to TaskState.ENDED,
    )
    private val causes = mapOf(
        "done" to EndCause.COMPLETED,
        "halted" to EndCause.STOPPED,
        "mates_gone" to EndCause.GANG_LOST,
        "alone" to EndCause.GANG_INCOMPLETE,
        "error" to EndCause.FAILED,
        "no_room" to EndCause.INSUFFICIENT_RESOURCES,
        "busy" to EndCause.OTHER_ATTEMPT_PRESENT,
        "unknown" to EndCause.UNKNOWN_TASK,
    )

    /** Decodes the body of a heartbeat; throws a [MalformedException] if a field is missing or has an invalid value. */
    fun decode(fields: Fields) = Heartbeat(
        machineName = fields.text("rig"),
        address = fields.textOrNull("addr") ?: "",
        machineType = fields.text("build"),
        zone = fields.text("yard"),
        spot = fields.flagOrNull("loaners") ?: false,
        incarnation = fields.long("watch"),
        sequenceNumber = fields.long("tick"),
        fencingToken = fields.long("helm"),
        preemptionNoticeMicros = fields.durationMicrosOrNull("recall_s"),
        tasks = fields.children("pieces").map(::decodeTask),
    )

    private fun decodeTask(fields: Fields) = TaskStatus(
        task = TaskId.parse(fields.text("piece")) ?: throw MalformedException("piece: must be a task id of the form job/index"),
        attempt = fields.long("try"),
        state = states[fields.text("status")] ?: fields.fail("status", "must be one of fetching, gathering, running, saving, ended"),
        cause = fields.textOrNull("cause")?.let { causes[it] ?: EndCause.OTHER },
        hasCheckpoint = fields.flagOrNull("saved") ?: false,
    )

    /** Returns the body of a response that carries [commands]. */
    fun encodeResponse(fencingToken: Long, commands: List<Command>): Map<String, Any?> =
        mapOf("helm" to fencingToken, "orders" to commands.map(::encode))

    /** Returns the body of a response that redirects the worker to the controller [nodeName]. */
    fun encodeRedirect(nodeName: String): Map<String, Any?> = mapOf("bridge" to nodeName)

    private fun encode(command: Command): Map<String, Any?> = when (command) {
        is Command.Start -> encode(command, "start")
        is Command.Stop -> encode(command, "halt") + ("wind_down_s" to command.gracePeriodMicros / MICROS_PER_SECOND)
        is Command.Acknowledge -> encode(command, "clear")
    }

    private fun encode(command: Command, verb: String): Map<String, Any?> =
        mapOf("verb" to verb, "piece" to command.task.toString(), "try" to command.attempt)

    private const val MICROS_PER_SECOND = 1e6
}

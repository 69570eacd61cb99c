package linemast.control

import linemast.domain.Command
import linemast.leadership.Authority
import linemast.leadership.CancellationKnowledge

/**
 * The answer to a worker's report, and until when it may leave.
 *
 * It is checked again as it is written: what was known when it was made does not grow while it waits.
 */
class ReportAnswer(
    val fencingToken: Long,
    val commands: List<Command>,
    knowledge: CancellationKnowledge,
    private val authority: Authority,
) {
    private val renewsUntilMicros = knowledge.renewsUntilMicros
    private val startsUntilMicros = knowledge.startsUntilMicros
    private val starts = commands.any { it is Command.Start }

    /** Whether the answer may still be sent. */
    fun isValid(nowMicros: Long): Boolean = authority.mayAnswer(nowMicros) &&
        nowMicros < renewsUntilMicros &&
        (!starts || (authority.mayCommand(nowMicros) && nowMicros < startsUntilMicros))
}

package linemast.duties

/** Who leads, as the store has it. */
class LeadershipRecord(
    /** Name of the leader; null if there is none now. */
    val leaderName: String?,
    /** Fencing token of the leader; null if there is none now. */
    val leaderToken: Long?,
    /** The highest fencing token that was ever given out. */
    val highestToken: Long,
)

/** Something in the store that the rules of single-holder duties do not allow, or that needs an operator's eye. */
data class AuditFinding(val severity: Severity, val intent: IntentId, val message: String) {
    /** How much a finding matters. */
    enum class Severity {
        /** A rule is broken: a controller acted that did not hold the duty, or the records were tampered with. */
        VIOLATION,

        /** Allowed, but it should not stay so. */
        WARNING,
    }
}

/** Checks the stored intents against the rules of single-holder duties; pure. */
class IntentAudit(private val scaleOutRetryMicros: Long) {
    /** All that is to be said of [intents], the violations first. */
    fun check(intents: List<Intent>, leadership: LeadershipRecord, wallMicros: Long): List<AuditFinding> {
        val findings = intents.flatMap { tokens(it, leadership) + rental(it) + age(it, leadership, wallMicros) } +
            repeatedIds(intents) + repeatedRequests(intents) + machinesReturnedTwice(intents)
        return findings.sortedBy { it.severity }
    }

    private fun tokens(intent: Intent, leadership: LeadershipRecord): List<AuditFinding> {
        val decided = intent.id.fencingToken
        val closed = intent.closedByToken
        return listOfNotNull(
            violation(intent, "its fencing token was never given out").takeIf { decided > leadership.highestToken },
            violation(intent, "was closed under a token that was never given out").takeIf { (closed ?: 0L) > leadership.highestToken },
            violation(intent, "was closed by a leader before the one that decided it").takeIf { closed != null && closed < decided },
            violation(intent, "has ended, and nobody closed it").takeIf { closed == null && intent.state.isTerminal },
        )
    }

    /** The ids of rental requests begin with the fencing token of the leader that asks. */
    private fun rental(intent: Intent): List<AuditFinding> {
        val rental = intent.action as? CloudAction.ScaleOut ?: return emptyList()
        val token = rental.request.requestId.split('-').getOrNull(1)?.toLongOrNull()
        return if (token == intent.id.fencingToken) emptyList() else listOf(violation(intent, "asks under another term's request id"))
    }

    /** What earlier leaders left open the present one carries out, once it can. */
    private fun age(intent: Intent, leadership: LeadershipRecord, wallMicros: Long): List<AuditFinding> {
        val isLeft = !intent.state.isTerminal && intent.id.fencingToken < (leadership.leaderToken ?: 0L)
        val isOld = wallMicros - intent.decidedWallMicros > scaleOutRetryMicros * OLD_ADOPTIONS
        val message = "was left open by an earlier leader, and the present one has not ended it"
        return if (isLeft && isOld) listOf(AuditFinding(AuditFinding.Severity.WARNING, intent.id, message)) else emptyList()
    }

    private fun repeatedIds(intents: List<Intent>): List<AuditFinding> =
        intents.groupBy { it.id }.values.filter { it.size > 1 }.map { violation(it.first(), "is held by ${it.size} slots") }

    private fun repeatedRequests(intents: List<Intent>): List<AuditFinding> = intents
        .mapNotNull { intent -> (intent.action as? CloudAction.ScaleOut)?.let { it.request.requestId to intent } }
        .groupBy({ it.first }, { it.second }).values
        .filter { it.size > 1 }.map { violation(it.last(), "repeats the rental request of ${it.first().id}") }

    private fun machinesReturnedTwice(intents: List<Intent>): List<AuditFinding> {
        val byMachine = LinkedHashMap<String, ArrayList<Intent>>()
        for (intent in intents) {
            (intent.action as? CloudAction.ScaleIn)?.names?.forEach { byMachine.getOrPut(it) { ArrayList() } += intent }
        }
        return byMachine.filter { (_, returns) -> returns.count { !it.state.isTerminal } > 1 }.map { (name, returns) ->
            val message = "$name is being returned by ${returns.map { it.id }}"
            AuditFinding(AuditFinding.Severity.WARNING, returns.last().id, message)
        }
    }

    private fun violation(intent: Intent, message: String) = AuditFinding(AuditFinding.Severity.VIOLATION, intent.id, message)

    private companion object {
        /** An open intent is looked at by the next leader at once; after so many times its patience something is wrong. */
        const val OLD_ADOPTIONS = 4
    }
}

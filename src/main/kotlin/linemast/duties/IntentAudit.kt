package linemast.duties

/** A stored intent that breaks the rules of the intent log, or that an operator should look at. */
data class AuditFinding(val severity: Severity, val intent: IntentId, val message: String) {
    /** Severity of a finding, the highest first. */
    enum class Severity {
        /** A rule is broken: a controller acted without being the leader, or records were tampered with. */
        VIOLATION,

        /** Permitted, but not supposed to last. */
        WARNING,
    }
}

/** Checks stored intents against the rules of the intent log. [scaleOutRetryMicros] is how long requests are repeated. */
class IntentAudit(private val scaleOutRetryMicros: Long) {
    /** The findings on [intents] at the wall-clock time [wallMicros], violations first. */
    fun check(intents: List<Intent>, leadership: LeadershipRecord, wallMicros: Long): List<AuditFinding> {
        val findings = intents.flatMap { invalidTokens(it, leadership) + foreignRequestId(it) + leftOpen(it, leadership, wallMicros) } +
            repeatedIds(intents) + repeatedRequests(intents) + machinesScaledInTwice(intents)
        return findings.sortedBy { it.severity }
    }

    private fun invalidTokens(intent: Intent, leadership: LeadershipRecord): List<AuditFinding> {
        val decided = intent.id.fencingToken
        val closed = intent.closedByToken
        return listOfNotNull(
            violation(intent, "its fencing token was never given out").takeIf { decided > leadership.highestToken },
            violation(intent, "was closed under a token that was never given out").takeIf { (closed ?: 0L) > leadership.highestToken },
            violation(intent, "was closed by a leader before the one that decided it").takeIf { closed != null && closed < decided },
            violation(intent, "has ended, and nobody closed it").takeIf { closed == null && intent.state.isTerminal },
        )
    }

    /** The ids of scale-out requests contain the fencing token of the leader that decided them. */
    private fun foreignRequestId(intent: Intent): List<AuditFinding> {
        val requestId = intent.requestId ?: return emptyList()
        val token = requestId.split('-').getOrNull(1)?.toLongOrNull()
        return if (token == intent.id.fencingToken) emptyList() else listOf(violation(intent, "asks under another term's request id"))
    }

    /** The current leader closes what previous leaders left open, as soon as it can. */
    private fun leftOpen(intent: Intent, leadership: LeadershipRecord, wallMicros: Long): List<AuditFinding> {
        val isLeftOpen = !intent.state.isTerminal && intent.id.fencingToken < (leadership.leaderToken ?: 0L)
        val isOverdue = wallMicros - intent.decidedWallMicros > scaleOutRetryMicros * OVERDUE_FACTOR
        val message = "was left open by an earlier leader, and the present one has not ended it"
        return if (isLeftOpen && isOverdue) listOf(AuditFinding(AuditFinding.Severity.WARNING, intent.id, message)) else emptyList()
    }

    private fun repeatedIds(intents: List<Intent>): List<AuditFinding> =
        intents.groupBy { it.id }.values.filter { it.size > 1 }.map { violation(it.first(), "is held by ${it.size} slots") }

    private fun repeatedRequests(intents: List<Intent>): List<AuditFinding> = intents
        .filter { it.requestId != null }
        .groupBy { it.requestId }.values
        .filter { it.size > 1 }
        .map { violation(it.last(), "repeats the rental request of ${it.first().id}") }

    private val Intent.requestId: String? get() = (action as? CloudAction.ScaleOut)?.request?.requestId

    private fun machinesScaledInTwice(intents: List<Intent>): List<AuditFinding> {
        val byMachine = LinkedHashMap<String, ArrayList<Intent>>()
        for (intent in intents) {
            (intent.action as? CloudAction.ScaleIn)?.names?.forEach { byMachine.getOrPut(it) { ArrayList() } += intent }
        }
        return byMachine.filter { (_, scaleIns) -> scaleIns.count { !it.state.isTerminal } > 1 }.map { (name, scaleIns) ->
            val message = "$name is being returned by ${scaleIns.map { it.id }}"
            AuditFinding(AuditFinding.Severity.WARNING, scaleIns.last().id, message)
        }
    }

    private fun violation(intent: Intent, message: String) = AuditFinding(AuditFinding.Severity.VIOLATION, intent.id, message)

    private companion object {
        /** The next leader takes up an open intent at once; after this many retry periods something is wrong. */
        const val OVERDUE_FACTOR = 4
    }
}

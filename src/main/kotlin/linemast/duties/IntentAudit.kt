package linemast.duties

/** Checks stored intents against each [AuditRule]. [scaleOutRetryTimeoutMicros] is how long a scale-out request is repeated. */
class IntentAudit(private val scaleOutRetryTimeoutMicros: Long) {
    /** Returns the findings on [intents] at the wall-clock time [wallMicros], violations first. */
    fun check(intents: List<Intent>, leadership: LeadershipSnapshot, wallMicros: Long): List<AuditFinding> {
        val findings = intents.flatMap { checkTokens(it, leadership) + checkRequestId(it) + checkAge(it, leadership, wallMicros) } +
            checkUniqueIntents(intents) + checkUniqueRequests(intents) + checkSingleScaleIns(intents)
        return findings.sortedBy { it.severity }
    }

    private fun checkTokens(intent: Intent, leadership: LeadershipSnapshot): List<AuditFinding> {
        val decided = intent.id.fencingToken
        val closed = intent.closedByToken
        fun finding(rule: AuditRule, message: String, isViolated: Boolean) = AuditFinding(rule, intent.id, message).takeIf { isViolated }
        return listOfNotNull(
            finding(AuditRule.TOKEN_ISSUED, "has a fencing token that was never issued", decided > leadership.highestToken),
            finding(
                AuditRule.CLOSING_TOKEN_ISSUED,
                "was closed with a fencing token that was never issued",
                (closed ?: 0L) > leadership.highestToken,
            ),
            finding(
                AuditRule.CLOSED_IN_ORDER,
                "was closed by an earlier leader than the one that decided it",
                closed != null && closed < decided,
            ),
            finding(
                AuditRule.CLOSED_BY_LEADER,
                "has a final state but no fencing token of a leader that closed it",
                closed == null && intent.state.isTerminal,
            ),
        )
    }

    private fun checkRequestId(intent: Intent): List<AuditFinding> {
        val requestId = intent.requestId ?: return emptyList()
        val token = requestId.split('-').getOrNull(1)?.toLongOrNull()
        if (token == intent.id.fencingToken) return emptyList()
        return listOf(AuditFinding(AuditRule.OWN_REQUEST_ID, intent.id, "has a request id of another term"))
    }

    private fun checkAge(intent: Intent, leadership: LeadershipSnapshot, wallMicros: Long): List<AuditFinding> {
        val isLeftOpen = !intent.state.isTerminal && intent.id.fencingToken < (leadership.leaderToken ?: 0L)
        val isOverdue = wallMicros - intent.decidedWallMicros > scaleOutRetryTimeoutMicros * OVERDUE_FACTOR
        if (!isLeftOpen || !isOverdue) return emptyList()
        val message = "was left open by a previous leader, and the current leader has not closed it in time"
        return listOf(AuditFinding(AuditRule.CLOSED_IN_TIME, intent.id, message))
    }

    private fun checkUniqueIntents(intents: List<Intent>): List<AuditFinding> = intents
        .groupBy { it.id }.values
        .filter { it.size > 1 }
        .map { AuditFinding(AuditRule.UNIQUE_INTENT, it.first().id, "is stored in ${it.size} slots") }

    private fun checkUniqueRequests(intents: List<Intent>): List<AuditFinding> = intents
        .filter { it.requestId != null }
        .groupBy { it.requestId }.values
        .filter { it.size > 1 }
        .map { AuditFinding(AuditRule.UNIQUE_REQUEST, it.last().id, "has the same scale-out request id as ${it.first().id}") }

    private fun checkSingleScaleIns(intents: List<Intent>): List<AuditFinding> {
        val byMachine = LinkedHashMap<String, ArrayList<Intent>>()
        for (intent in intents) {
            val action = intent.action as? CloudAction.ScaleIn ?: continue
            action.names.forEach { byMachine.getOrPut(it) { ArrayList() } += intent }
        }
        return byMachine
            .filterValues { scaleIns -> scaleIns.count { !it.state.isTerminal } > 1 }
            .map { (name, scaleIns) -> duplicateScaleIn(name, scaleIns) }
    }

    private fun duplicateScaleIn(name: String, scaleIns: List<Intent>) =
        AuditFinding(AuditRule.SINGLE_SCALE_IN, scaleIns.last().id, "removes $name like another open scale-in: ${scaleIns.map { it.id }}")

    private val Intent.requestId: String? get() = (action as? CloudAction.ScaleOut)?.request?.requestId

    private companion object {
        /** The next leader resumes an open intent at once, so one that is open for this many retry periods is a finding. */
        const val OVERDUE_FACTOR = 4
    }
}

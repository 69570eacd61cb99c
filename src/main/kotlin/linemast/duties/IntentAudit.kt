package linemast.duties

/** Checks stored intents against each [AuditRule]. [scaleOutRetryMicros] is how long scale-out requests are repeated. */
class IntentAudit(private val scaleOutRetryMicros: Long) {
    /** The findings on [intents] at the wall-clock time [wallMicros], violations first. */
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
            finding(AuditRule.TOKEN_ISSUED, "its fencing token was never given out", decided > leadership.highestToken),
            finding(
                AuditRule.CLOSING_TOKEN_ISSUED,
                "was closed under a token that was never given out",
                (closed ?: 0L) > leadership.highestToken,
            ),
            finding(AuditRule.CLOSED_IN_ORDER, "was closed by a leader before the one that decided it", closed != null && closed < decided),
            finding(AuditRule.CLOSED_BY_LEADER, "has ended, and nobody closed it", closed == null && intent.state.isTerminal),
        )
    }

    private fun checkRequestId(intent: Intent): List<AuditFinding> {
        val requestId = intent.requestId ?: return emptyList()
        val token = requestId.split('-').getOrNull(1)?.toLongOrNull()
        if (token == intent.id.fencingToken) return emptyList()
        return listOf(AuditFinding(AuditRule.OWN_REQUEST_ID, intent.id, "asks under another term's request id"))
    }

    private fun checkAge(intent: Intent, leadership: LeadershipSnapshot, wallMicros: Long): List<AuditFinding> {
        val isLeftOpen = !intent.state.isTerminal && intent.id.fencingToken < (leadership.leaderToken ?: 0L)
        val isOverdue = wallMicros - intent.decidedWallMicros > scaleOutRetryMicros * OVERDUE_FACTOR
        if (!isLeftOpen || !isOverdue) return emptyList()
        val message = "was left open by an earlier leader, and the present one has not ended it"
        return listOf(AuditFinding(AuditRule.CLOSED_IN_TIME, intent.id, message))
    }

    private fun checkUniqueIntents(intents: List<Intent>): List<AuditFinding> = intents
        .groupBy { it.id }.values
        .filter { it.size > 1 }
        .map { AuditFinding(AuditRule.UNIQUE_INTENT, it.first().id, "is held by ${it.size} slots") }

    private fun checkUniqueRequests(intents: List<Intent>): List<AuditFinding> = intents
        .filter { it.requestId != null }
        .groupBy { it.requestId }.values
        .filter { it.size > 1 }
        .map { AuditFinding(AuditRule.UNIQUE_REQUEST, it.last().id, "repeats the rental request of ${it.first().id}") }

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
        AuditFinding(AuditRule.SINGLE_SCALE_IN, scaleIns.last().id, "$name is being returned by ${scaleIns.map { it.id }}")

    private val Intent.requestId: String? get() = (action as? CloudAction.ScaleOut)?.request?.requestId

    private companion object {
        /** The next leader takes up an open intent at once; after this many retry periods something is wrong. */
        const val OVERDUE_FACTOR = 4
    }
}

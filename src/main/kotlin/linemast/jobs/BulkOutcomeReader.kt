package linemast.jobs

import linemast.domain.OutcomeRecord

/**
 * Reads the outcomes of many jobs during one request: once more than [MAX_SINGLE_READS] of them have had to be read, it
 * lists all open jobs instead, so that neither a long chain nor a wide fan of dependencies takes a call for each job.
 */
internal class BulkOutcomeReader(private val outcomes: OutcomeReader) {
    private var singleReads = 0
    private var hasListed = false

    /** The outcomes of [ids]; open ones may be as old as [OutcomeReader.readRecent] allows. */
    suspend fun read(ids: Collection<String>): Map<String, OutcomeRecord> {
        singleReads += ids.count { !outcomes.hasRecent(it) }
        if (singleReads > MAX_SINGLE_READS && !hasListed) {
            outcomes.cacheOpenJobs()
            hasListed = true
        }
        return outcomes.readRecent(ids)
    }

    private companion object {
        const val MAX_SINGLE_READS = 8
    }
}

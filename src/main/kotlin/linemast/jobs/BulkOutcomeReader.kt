package linemast.jobs

import linemast.domain.OutcomeRecord

/**
 * Reads the outcomes of many jobs for one request.
 *
 * When more than [MAX_SINGLE_READS] outcomes had to be read from the store, the reader lists all open jobs instead. So neither
 * a long chain nor a large number of dependencies takes one call per job.
 */
internal class BulkOutcomeReader(private val outcomes: OutcomeReader) {
    private var singleReads = 0
    private var hasListed = false

    /** Returns the outcomes of [ids]; open outcomes may be as old as [OutcomeReader.readRecent] allows. */
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

package linemast.control

import linemast.domain.JobOutcome
import linemast.jobs.JobKeys
import linemast.jobs.JobRecordCodec
import linemast.scheduling.Cluster
import linemast.serialization.MalformedException
import linemast.store.EntryPage
import linemast.store.KeyChange
import org.slf4j.LoggerFactory

/** Applies the stored records of open jobs to the cluster state. Called on the leader's event loop. */
internal class OpenJobUpdates(private val cluster: Cluster, private val outcomeListener: JobOutcomeListener) {
    private val log = LoggerFactory.getLogger(OpenJobUpdates::class.java)

    /** Applies a change of one record; a malformed record is logged and ignored. */
    fun apply(change: KeyChange) {
        val value = change.value ?: return cluster.applyJobDeletion(change.key.removePrefix(JobKeys.OPEN_PREFIX))
        try {
            val record = JobRecordCodec.decode(value)
            cluster.applyJobRecord(record, change.revision)
            if (record.cancelled) outcomeListener.recordOutcome(record.spec.id, JobOutcome.CANCELLED)
        } catch (e: MalformedException) {
            log.error("{}: malformed record: {}; the change is ignored", change.key, e.message)
        }
    }

    /** Records that all changes up to the store's [revision] have been applied. */
    fun recordAppliedRevision(revision: Long) = cluster.recordAppliedRevision(revision)

    /** Applies all records of [page], since changes were missed. */
    fun applyAll(page: EntryPage) = page.entries.forEach { cluster.applyJobRecord(JobRecordCodec.decode(it.value), it.revision) }
}

package linemast.control

import kotlinx.coroutines.launch
import linemast.domain.Job
import linemast.jobs.JobKeys
import linemast.jobs.JobRecordCodec
import linemast.scheduling.Cluster
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.RetryPolicy
import linemast.store.Write
import linemast.store.storeResultOrNull
import org.slf4j.LoggerFactory

/** Records in the store that tasks of a job may have been started, before the first start of the job is sent. */
internal class JobActivationStore(private val term: LeaderTerm, private val cluster: Cluster) {
    private val log = LoggerFactory.getLogger(JobActivationStore::class.java)

    /** Marks [job] as active in the store and then in the cluster state; retries until the job ends or the leadership is lost. */
    fun activate(job: Job) {
        term.scope.launch { activateWithRetries(job) }
    }

    private suspend fun activateWithRetries(job: Job) {
        while (true) {
            val revision = job.revision
            when (storeResultOrNull(log) { commitActivation(job) } ?: TermCommitResult.NoResult) {
                is TermCommitResult.Applied -> return term.eventLoop.enqueue {
                    job.activation = Job.Activation.ACTIVE
                    cluster.needsScheduling = true
                }
                TermCommitResult.LeadershipLost -> return term.lease.end()
                is TermCommitResult.Conflict, TermCommitResult.NoResult -> Unit
            }
            if (job.cancelled || job.finished) return
            // If the job's record has changed since the attempt began, the next attempt reads the new record without a wait.
            if (revision == job.revision) RETRY.pause()
        }
    }

    private suspend fun commitActivation(job: Job): TermCommitResult {
        val entry = term.store.get(JobKeys.open(job.id), RequestPriority.HIGH) ?: return TermCommitResult.NoResult
        val record = JobRecordCodec.decode(entry.value)
        if (record.cancelled) return TermCommitResult.NoResult
        val activated = record.with(activated = true).withKnownMachineTypes(cluster.machineTypes.values)
        return term.commit(
            listOf(Precondition(entry.key, entry.revision)),
            listOf(Write.Put(entry.key, JobRecordCodec.encode(activated))),
            RequestPriority.HIGH,
        )
    }

    private companion object {
        val RETRY = RetryPolicy(delayMillis = 250)
    }
}

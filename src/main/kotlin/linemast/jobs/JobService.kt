package linemast.jobs

import kotlinx.coroutines.CoroutineScope
import linemast.admission.AdmissionController
import linemast.admission.AdmissionDecision
import linemast.domain.JobOutcome
import linemast.domain.JobProgress
import linemast.domain.JobRecord
import linemast.domain.JobSpec
import linemast.domain.MachineType
import linemast.domain.OutcomeRecord
import linemast.serialization.Cbor
import linemast.serialization.JsonSize
import linemast.serialization.MalformedException
import linemast.settings.Team
import linemast.store.CommitResult
import linemast.store.Entry
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.StoreException
import linemast.store.Write
import linemast.time.Clock
import linemast.transport.HttpRequest
import linemast.transport.HttpResponse
import linemast.transport.HttpStatus
import org.slf4j.LoggerFactory

/** Progress of jobs for display, as the leader last told it. */
fun interface ProgressSource {
    /** Done and running tasks of a job, or null when nothing is known. */
    fun progressOf(id: String): JobProgress?
}

/**
 * The users' side: submissions, polls and cancellations, at any controller.
 *
 * Whatever is answered of a job has been read from or committed to the store after the request arrived; only final
 * verdicts are remembered, since those never change. What is known of the jobs that it depends on may be older, see
 * [DependencyCheck].
 */
class JobService(
    private val store: KeyValueStore,
    private val scope: CoroutineScope,
    private val teams: Map<String, Team>,
    private val types: () -> List<MachineType>?,
    private val progress: ProgressSource,
    private val wallMicros: () -> Long,
    /** What a stored value may take, also under limits that are to come. */
    private val maxValueBytes: Int,
    private val clock: Clock,
    /** Time that a cancellation has to reach the jobs that depend on the cancelled one. */
    cancelMicros: Long,
    /** Puts submissions off that are more than their flow's part; null if all are taken. */
    private val admission: AdmissionController? = null,
) {
    private val log = LoggerFactory.getLogger(JobService::class.java)
    private val outcomes = OutcomeReader(store, scope, clock, cancelMicros / MAX_AGE_PARTS)
    private val dependencyCheck = DependencyCheck(outcomes, scope, cancelMicros / MAX_CHECK_PARTS)

    /** Answers a user's request; null if the path is not one of jobs. */
    suspend fun handle(request: HttpRequest): HttpResponse? {
        val path = request.path
        return when {
            path == JOBS_PATH -> if (request.method == "POST") guarded { submit(request) } else null
            !path.startsWith("$JOBS_PATH/") -> null
            request.method == "POST" && path.endsWith(CANCEL_SUFFIX) ->
                guarded { cancel(path.substring(JOBS_PATH.length + 1, path.length - CANCEL_SUFFIX.length)) }
            request.method == "GET" -> guarded { poll(path.substring(JOBS_PATH.length + 1)) }
            else -> null
        }
    }

    private suspend fun guarded(answer: suspend () -> HttpResponse): HttpResponse = try {
        answer()
    } catch (e: StoreException) {
        log.debug("turned away: {}", e.message)
        HttpResponse.unavailable()
    }

    private suspend fun submit(request: HttpRequest): HttpResponse {
        val spec = JobCodec.decode(Cbor.decodeMap(request.body))
        outcomes.final(spec.id)?.let { return known(spec.id, it) }
        val machineTypes = types() ?: return HttpResponse.unavailable()
        if (!canEverRun(spec, machineTypes)) {
            // A job that was accepted once stays accepted, whatever the machine types have become since.
            val outcome = outcomes.fresh(spec.id)
            return if (outcome != null) answer(spec.id, outcome) else refused("this job can never run")
        }
        if (spec.dependencies.isEmpty()) return putOff(spec) ?: accept(spec.within(machineTypes), JobOutcome.OPEN)
        // A job that was accepted once is known whatever it names.
        outcomes.fresh(spec.id)?.let { return answer(spec.id, it) }
        return submitDependent(spec.within(machineTypes))
    }

    /**
     * The answer to a submission whose turn has not come; null if it is to be taken. A job that was accepted once is known
     * whatever is limited, and jobs that depend on others belong to what has been admitted already.
     */
    private suspend fun putOff(spec: JobSpec): HttpResponse? {
        val gate = admission ?: return null
        val deferred = gate.decide(spec) as? AdmissionDecision.Deferred ?: return null
        val known = knownCheaply(spec.id)
        if (known != null) {
            gate.recordAccepted(spec.id)
            return answer(spec.id, known)
        }
        log.debug("{}: put off for {} s", spec.id, deferred.retryAfterSeconds)
        return HttpResponse(HttpStatus.TOO_MANY_REQUESTS, retryAfterSeconds = deferred.retryAfterSeconds)
    }

    /**
     * The verdict of a job whose submission is put off, if it can be read without taking from other calls. Its user may ask
     * once more for a job that was accepted a moment ago; that one is still admitted, and so found without this.
     */
    private suspend fun knownCheaply(id: String): OutcomeRecord? = try {
        store.get(JobKeys.outcome(id), RequestPriority.BACKGROUND)?.let { entry ->
            outcomes.decoded { JobRecordCodec.decodeOutcome(entry.value) }
        }
    } catch (e: StoreException) {
        log.debug("{}: put off without a look: {}", id, e.message)
        null
    }

    /** Accepts a job that names others: all of them have to be known, and a cancelled one among all that it needs cancels it. */
    private suspend fun submitDependent(spec: JobSpec): HttpResponse {
        if (spec.dependencies.count { !outcomes.hasRecent(it) } > MAX_SINGLE_READS) outcomes.listOpen()
        val dependencies = outcomes.recent(spec.dependencies)
        spec.dependencies.firstOrNull { it !in dependencies }?.let { unknown ->
            return refused("it depends on $unknown, which was never accepted")
        }
        if (dependencies.values.all { it.outcome == JobOutcome.DONE }) return accept(spec.copy(dependencies = emptyList()), JobOutcome.OPEN)
        val isCancelled = dependencyCheck.dependsOnCancelled(spec.dependencies)
        return accept(spec, if (isCancelled) JobOutcome.CANCELLED else JobOutcome.OPEN)
    }

    private fun refused(reason: String) = HttpResponse(HttpStatus.UNPROCESSABLE_CONTENT, JobResponses.refused(reason))

    private suspend fun accept(spec: JobSpec, outcome: JobOutcome): HttpResponse {
        val record = JobRecordCodec.encode(JobRecord(spec, wallMicros(), opened = false, cancelled = false))
        if (JsonSize.of(record) > maxValueBytes) throw MalformedException("the job is too large to be kept")
        val writes = ArrayList<Write>()
        val outcomeRecord = OutcomeRecord(outcome, spec.taskCount, spec.dependencies)
        writes += Write.Put(JobKeys.outcome(spec.id), JobRecordCodec.encode(outcomeRecord))
        // One that awaits a job that was cancelled is over as soon as it is known.
        if (!outcome.isTerminal) {
            writes +=
                Write.Put(if (spec.dependencies.isEmpty()) JobKeys.open(spec.id) else JobKeys.waiting(spec.id), record)
        }
        val sentMicros = clock.nowMicros()
        val result = store.commit(listOf(Precondition(JobKeys.outcome(spec.id), 0L)), writes, RequestPriority.HIGH)
        return when (result) {
            is CommitResult.Applied -> {
                outcomes.remember(spec.id, outcomeRecord, sentMicros)
                admission?.recordAccepted(spec.id)
                val state = if (outcome.isTerminal) JobState.CANCELLED else JobState.PENDING
                HttpResponse(HttpStatus.CREATED, JobResponses.accepted(spec.id, state))
            }
            is CommitResult.Conflict ->
                outcomes.fresh(spec.id)?.let {
                    admission?.recordAccepted(spec.id)
                    answer(spec.id, it)
                } ?: HttpResponse.unavailable()
            is CommitResult.NoSuchLease -> HttpResponse.unavailable()
        }
    }

    private suspend fun poll(id: String): HttpResponse {
        if (!JobSpec.isId(id)) return HttpResponse(HttpStatus.NOT_FOUND)
        val outcome = outcomes.fresh(id) ?: return HttpResponse(HttpStatus.NOT_FOUND)
        return answer(id, outcome)
    }

    /**
     * The answer to a question about a job: one that needs a cancelled one is cancelled with it, before that is said. Looking
     * takes reads of its own, so the verdict is read once more after them: it may have become final since.
     */
    private suspend fun answer(id: String, record: OutcomeRecord): HttpResponse = when {
        record.outcome.isTerminal || record.dependencies.isEmpty() -> known(id, record)
        dependencyCheck.dependsOnCancelled(record.dependencies) -> cancel(id)
        else -> known(id, outcomes.fresh(id) ?: record)
    }

    private suspend fun cancel(id: String): HttpResponse {
        if (!JobSpec.isId(id)) return HttpResponse(HttpStatus.NOT_FOUND)
        repeat(CANCEL_TRIES) {
            outcomes.final(id)?.let { return known(id, it) }
            val entry = store.get(JobKeys.outcome(id), RequestPriority.HIGH) ?: return HttpResponse(HttpStatus.NOT_FOUND)
            val outcome = outcomes.decoded { JobRecordCodec.decodeOutcome(entry.value) }
            if (outcome.outcome.isTerminal) return known(id, outcomes.remember(id, outcome))
            // The leader releases a waiting job by one transaction from one key to the other.
            val waits = outcome.dependencies.isNotEmpty()
            val open = (if (waits) store.get(JobKeys.waiting(id), RequestPriority.HIGH) else null)
                ?: store.get(JobKeys.open(id), RequestPriority.HIGH) ?: return@repeat
            val cancelled = OutcomeRecord(JobOutcome.CANCELLED, outcome.taskCount)
            val end = if (open.key == JobKeys.waiting(id)) Write.Delete(open.key) else Write.Put(open.key, cancelledRecord(open))
            val result = store.commit(
                listOf(Precondition(entry.key, entry.revision), Precondition(open.key, open.revision)),
                listOf(Write.Put(entry.key, JobRecordCodec.encode(cancelled)), end),
                RequestPriority.HIGH,
            )
            if (result is CommitResult.Applied) return known(id, outcomes.remember(id, cancelled))
        }
        return HttpResponse.unavailable()
    }

    /** The record of an open job with its cancellation, from which the leader learns of it. */
    private fun cancelledRecord(open: Entry): Map<String, Any?> {
        val record = outcomes.decoded { JobRecordCodec.decodeJob(open.value) }.with(cancelled = true)
        val machineTypes = types() ?: return JobRecordCodec.encode(record)
        return JobRecordCodec.encode(record.within(machineTypes))
    }

    private fun known(id: String, record: OutcomeRecord): HttpResponse {
        val shown = progress.progressOf(id)
        val isRunning = shown != null && shown.running > 0
        val state = when (record.outcome) {
            JobOutcome.DONE -> JobState.DONE
            JobOutcome.CANCELLED -> JobState.CANCELLED
            JobOutcome.OPEN -> if (isRunning) JobState.RUNNING else JobState.PENDING
        }
        val done = if (record.outcome == JobOutcome.DONE) record.taskCount else shown?.done ?: 0
        val running = if (record.outcome == JobOutcome.OPEN) shown?.running ?: 0 else 0
        return HttpResponse(HttpStatus.OK, JobResponses.state(id, state, JobProgress(done, running)))
    }

    private fun canEverRun(spec: JobSpec, machineTypes: List<MachineType>): Boolean {
        val team = teams[spec.team] ?: return false
        val asOne = if (spec.isGang) spec.taskCount else 1
        if (spec.vcpus * asOne > team.maxVcpus || spec.gpus * asOne > team.maxGpus) return false
        return machineTypes.any { type ->
            type.takes(spec) && (spec.zone == null || type.zones.isEmpty() || spec.zone in type.zones)
        }
    }

    private companion object {
        const val JOBS_PATH = "/v1/jobs"
        const val CANCEL_SUFFIX = "/cancel"
        const val CANCEL_TRIES = 4
        const val MAX_SINGLE_READS = 8

        /** Verdicts of other jobs may be this part of a cancellation's time old, and a look at all of them may take this part. */
        const val MAX_AGE_PARTS = 3
        const val MAX_CHECK_PARTS = 4
    }
}

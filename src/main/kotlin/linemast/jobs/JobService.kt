package linemast.jobs

import kotlinx.coroutines.CoroutineScope
import linemast.admission.AdmissionController
import linemast.domain.MachineType
import linemast.leadership.CancellationBarrier
import linemast.settings.Team
import linemast.store.KeyValueStore
import linemast.store.StoreException
import linemast.time.Clock
import linemast.transport.HttpRequest
import linemast.transport.HttpResponse
import org.slf4j.LoggerFactory

/** Limits that apply to submissions and cancellations. */
class JobServiceSettings(
    /** Teams that may submit jobs, by name. */
    val teams: Map<String, Team>,
    /** Size limit of a stored value in bytes: the lowest of all limits that may take effect. */
    val maxValueBytes: Int,
    /** Time within which a cancellation has to reach the jobs that depend on the cancelled one. */
    val cancellationDeadlineMicros: Long,
)

/**
 * Serves the users' API on every controller: submissions, status queries and cancellations.
 *
 * Every response is based on a read from the store or a commit to the store after the request arrived. Only terminal
 * outcomes are cached without a time limit, because they never change. A response that tells of a cancellation waits until the
 * cancellation is in effect. Outcomes of the jobs that a job depends on may be
 * older; see [DependencyCheck].
 */
class JobService(
    settings: JobServiceSettings,
    store: KeyValueStore,
    scope: CoroutineScope,
    clock: Clock,
    wallMicros: () -> Long,
    /** Returns the machine types of the cloud; null until they have been read. */
    machineTypes: () -> List<MachineType>?,
    progress: ProgressSource,
    /** Holds each response that tells of a cancellation until no controller starts a task of the job any more. */
    private val cancellationBarrier: CancellationBarrier,
    /** Defers submissions that exceed the share of their flow; null if all submissions are admitted. */
    admission: AdmissionController? = null,
) {
    private val log = LoggerFactory.getLogger(JobService::class.java)
    private val outcomes = OutcomeReader(store, scope, clock, settings.cancellationDeadlineMicros / OUTCOME_AGE_DIVISOR)
    private val dependencyCheck =
        DependencyCheck(outcomes, scope, settings.cancellationDeadlineMicros / DEPENDENCY_CHECK_DIVISOR, cancellationBarrier)
    private val statusReporter = JobStatusReporter(progress)
    private val cancellation = CancellationHandler(store, outcomes, statusReporter, machineTypes)
    private val statusQuery = StatusQueryHandler(outcomes, dependencyCheck, cancellation, statusReporter)
    private val jobWriter = JobWriter(store, outcomes, clock, wallMicros, settings.maxValueBytes)
    private val submission = SubmissionHandler(
        feasibility = JobFeasibility(settings.teams),
        machineTypes = machineTypes,
        outcomes = outcomes,
        dependencyCheck = dependencyCheck,
        statusQuery = statusQuery,
        statusReporter = statusReporter,
        jobWriter = jobWriter,
        deferral = admission?.let { SubmissionDeferral(it, store) },
    )

    /**
     * Responds to a user's request; returns null if its method and path are not those of a request about jobs. Throws
     * MalformedException if the body of a submission is malformed.
     */
    suspend fun handle(request: HttpRequest): HttpResponse? {
        val path = request.path
        return when {
            path == JOBS_PATH -> if (request.method == "POST") respond { submission.submit(request.body) } else null
            !path.startsWith("$JOBS_PATH/") -> null
            request.method == "POST" && path.endsWith(CANCEL_SUFFIX) ->
                respond { cancellation.cancel(path.substring(JOBS_PATH.length + 1, path.length - CANCEL_SUFFIX.length)) }
            request.method == "GET" -> respond { statusQuery.query(path.substring(JOBS_PATH.length + 1)) }
            else -> null
        }
    }

    private suspend fun respond(handle: suspend () -> JobResponse): HttpResponse {
        val response = try {
            handle().also { response -> response.cancelledJobId?.let { cancellationBarrier.awaitEffect(it) } }
        } catch (e: StoreException) {
            log.debug("request rejected: {}; responding with 503", e.message)
            JobResponse.Unavailable
        }
        return JobResponseCodec.encode(response)
    }

    private companion object {
        const val JOBS_PATH = "/v1/jobs"
        const val CANCEL_SUFFIX = "/cancel"

        /** The maximum age of a cached open outcome is the time limit of a cancellation divided by this number. */
        const val OUTCOME_AGE_DIVISOR = 3

        /** The timeout of a check of all transitive dependencies is the time limit of a cancellation divided by this number. */
        const val DEPENDENCY_CHECK_DIVISOR = 4
    }
}

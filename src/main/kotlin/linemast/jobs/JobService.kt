package linemast.jobs

import kotlinx.coroutines.CoroutineScope
import linemast.admission.AdmissionController
import linemast.domain.MachineType
import linemast.settings.Team
import linemast.store.KeyValueStore
import linemast.store.StoreException
import linemast.time.Clock
import linemast.transport.HttpRequest
import linemast.transport.HttpResponse
import org.slf4j.LoggerFactory

/** The limits by which jobs are accepted and cancelled. */
class JobServiceSettings(
    /** Teams that may submit jobs, by name. */
    val teams: Map<String, Team>,
    /** Size limit of a stored value in bytes; the lowest of all that may come into force. */
    val maxValueBytes: Int,
    /** Time within which a cancellation must reach the jobs that depend on the cancelled one. */
    val cancellationMicros: Long,
)

/**
 * The users' API: submissions, status queries and cancellations, at any controller.
 *
 * Every response has been read from or committed to the store after its request arrived; only terminal outcomes are
 * cached without a time limit, since those never change. Outcomes of the jobs that a job depends on may be older, see
 * [DependencyCheck].
 */
class JobService(
    settings: JobServiceSettings,
    store: KeyValueStore,
    scope: CoroutineScope,
    clock: Clock,
    wallMicros: () -> Long,
    /** The machine types of the cloud; null until they have been read. */
    machineTypes: () -> List<MachineType>?,
    progress: ProgressSource,
    /** Defers submissions beyond the share of their flow; null if all are admitted. */
    admission: AdmissionController? = null,
) {
    private val log = LoggerFactory.getLogger(JobService::class.java)
    private val outcomes = OutcomeReader(store, scope, clock, settings.cancellationMicros / OUTCOME_AGE_DIVISOR)
    private val dependencyCheck = DependencyCheck(outcomes, scope, settings.cancellationMicros / DEPENDENCY_CHECK_DIVISOR)
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

    /** Responds to a user's request; null if the path is not one of jobs. Throws MalformedException for a body that is no job. */
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
            handle()
        } catch (e: StoreException) {
            log.debug("rejected: {}", e.message)
            JobResponse.Unavailable
        }
        return JobResponseCodec.encode(response)
    }

    private companion object {
        const val JOBS_PATH = "/v1/jobs"
        const val CANCEL_SUFFIX = "/cancel"

        /** Cached open outcomes may be as old as this fraction of the time that a cancellation has. */
        const val OUTCOME_AGE_DIVISOR = 3

        /** One check of all transitive dependencies may take this fraction of the time that a cancellation has. */
        const val DEPENDENCY_CHECK_DIVISOR = 4
    }
}

package linemast.jobs

import kotlinx.coroutines.test.TestScope
import linemast.admission.AdmissionController
import linemast.domain.MachineType
import linemast.leadership.CancellationBarrier
import linemast.serialization.Cbor
import linemast.settings.Team
import linemast.simulation.SimStore
import linemast.store.KeyValueStore
import linemast.time.Clock
import linemast.transport.HttpRequest
import kotlin.random.Random

/** Time within which a cancellation has to reach dependent jobs. */
internal const val TEST_CANCELLATION_MICROS = 36_000_000L

/** The only machine type of the test cloud. */
internal val TEST_MACHINE_TYPES = listOf(MachineType("t", 8.0, 0.0, 64.0, 10.0, 1.0, 1.0, 0.3, 30_000_000, listOf("z")))

/** Creates a simulated store in virtual time. */
internal fun TestScope.store() = SimStore(backgroundScope, Clock { testScheduler.currentTime * 1_000 + 1 }, Random(1))

/** Creates a job service of one controller in virtual time. */
internal fun TestScope.jobService(
    store: SimStore,
    maxValueBytes: Int = 8 * 1024,
    admission: AdmissionController? = null,
    types: () -> List<MachineType>? = { TEST_MACHINE_TYPES },
) = jobService(store.clientOf("mast-0"), maxValueBytes, admission, types)

/** Creates a job service in virtual time whose calls to the store go through [store]. */
internal fun TestScope.jobService(
    store: KeyValueStore,
    maxValueBytes: Int = 8 * 1024,
    admission: AdmissionController? = null,
    types: () -> List<MachineType>? = { TEST_MACHINE_TYPES },
) = JobService(
    settings = JobServiceSettings(
        teams = listOf("team", "other").associateWith { Team(it, 8.0, 16.0, 0.0, 0.0) },
        maxValueBytes = maxValueBytes,
        cancellationDeadlineMicros = TEST_CANCELLATION_MICROS,
    ),
    store = store,
    scope = backgroundScope,
    clock = Clock { testScheduler.currentTime * 1_000 + 1 },
    wallMicros = { 0L },
    machineTypes = types,
    progress = { null },
    cancellationBarrier = acknowledgedCancellations(Clock { testScheduler.currentTime * 1_000 + 1 }),
    admission = admission,
)

/** A barrier whose cancellations are in effect at once, as with a leader that is connected to this controller. */
internal fun TestScope.acknowledgedCancellations(clock: Clock): CancellationBarrier {
    lateinit var barrier: CancellationBarrier
    barrier = CancellationBarrier(backgroundScope, clock, maxStartStalenessMicros = 4_000_000L) { barrier.acknowledge(it) }
    return barrier
}

/** Submits [job]; returns the HTTP status code. */
internal suspend fun submit(jobService: JobService, job: Map<String, Any?>) = status(jobService, "POST", "/v1/jobs", Cbor.encode(job))

/** Queries the status of the job with [id]; returns the HTTP status code. */
internal suspend fun queryStatus(jobService: JobService, id: String) = status(jobService, "GET", "/v1/jobs/$id", ByteArray(0))

/** Cancels the job with [id]; returns the HTTP status code. */
internal suspend fun cancel(jobService: JobService, id: String) = status(jobService, "POST", "/v1/jobs/$id/cancel", ByteArray(0))

/** Queries the status of the job with [id]; returns the job state in the response. */
internal suspend fun queryState(jobService: JobService, id: String): String? =
    jobService.handle(HttpRequest("GET", "/v1/jobs/$id", "", ByteArray(0)))?.let { Cbor.decodeMap(it.body).text("status") }

private suspend fun status(jobService: JobService, method: String, path: String, body: ByteArray): Int? =
    jobService.handle(HttpRequest(method, path, "", body))?.status

/** Returns the fields of a submission in wire form, with [changes] applied. */
internal fun job(vararg changes: Pair<String, Any?>): Map<String, Any?> = mapOf(
    "name_id" to "req-000001", "lane" to "lane", "crew" to "team", "shape" to "sweep", "urgency" to "normal", "pieces" to 3,
    "vcpus" to 1.0, "gpus" to 0.0, "memory_gb" to 1.0, "bundle" to "img", "pull_gb" to 1.0, "same_place" to false,
    "apart" to false, "loaners" to true, "guess_s" to 5.0, "mark_every_s" to 0.0, "mark_s" to 0.0, "due_s" to 60.0,
) + changes

package linemast.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import linemast.admission.AdmissionPlan
import linemast.serialization.Cbor
import linemast.transport.HttpResponse

/** Statuses of a job that is over. */
internal val TERMINAL_STATUSES = setOf("done", "withdrawn")

/** The users of a [SimWorld]: they submit jobs, ask about them and cancel them. */
class SimUsers(private val world: SimWorld) {
    private val clock = world.clock
    private val random = world.random
    private val scope = world.scope
    private val jobs get() = world.jobs
    private val checks get() = world.checks

    /** Share of jobs that are cancelled at the moment when their last task is done. */
    var cancelledAtEnd = 0.0

    /** Share of jobs that are cancelled within milliseconds of the end of a job that they depend on. */
    var dependentsCancelledAtEnd = 0.0

    /** Nobody asks about jobs. */
    var quiet = false

    /** The controller that a submission of a job goes to. */
    var entryOf: (SimJob) -> Int = { random.nextInt(CONTROLLERS) }

    /** Called with each answer to a submission. */
    var onAnswer: (id: String, status: Int) -> Unit = { _, _ -> }

    /** Called with each answer to a submission, with the plan by which the controller admitted all the while. */
    var onSubmission: (id: String, status: Int, plan: AdmissionPlan) -> Unit = { _, _, _ -> }

    /** A user submits [job] until it is accepted, then polls; may cancel it at some time. */
    fun submit(job: SimJob, cancelAfterMillis: Long?) {
        jobs[job.id] = job
        scope.launch {
            if (!submitUntilAccepted(job)) return@launch
            while (true) {
                delay(random.nextLong(2_000, 6_000))
                poll(job)
            }
        }
        if (cancelAfterMillis != null) cancel(job, cancelAfterMillis)
    }

    /** False if the user gives up. */
    private suspend fun submitUntilAccepted(job: SimJob): Boolean {
        job.submittedMicros = clock.nowMicros()
        while (!job.accepted) {
            if (clock.nowMicros() - job.submittedMicros > job.patienceMicros) return false
            val reply = submitOnce(job)
            val status = reply?.status
            if (status == 200 || status == 201) {
                job.accepted = true
                job.acceptedMicros = clock.nowMicros()
            }
            if (status == 400 || status == 422) checks.report(Invariant.ACCEPTED_JOB_IS_KNOWN, job.id, "answered $status")
            if (status == 429) job.putOffCount++
            delay(maxOf(1, reply?.retryAfterSeconds ?: 1) * 1_000L)
        }
        return true
    }

    private suspend fun submitOnce(job: SimJob): HttpResponse? {
        val at = entryOf(job)
        val plan = world.admissionPlanOf(at)
        val reply = ask("POST", "/v1/jobs", Cbor.encode(job.body()), at)
        if (reply != null) onAnswer(job.id, reply.status)
        if (reply != null && plan != null && plan == world.admissionPlanOf(at)) onSubmission(job.id, reply.status, plan)
        return reply
    }

    /** Submits a job once more, beside what its user does. */
    fun submitAgain(job: SimJob) {
        scope.launch { submitOnce(job) }
    }

    /** A user submits the jobs of a pipeline one after another, each as soon as those that it depends on are accepted. */
    fun submitPipeline(pipeline: List<SimJob>, lastOnlyThen: Boolean = false) {
        scope.launch {
            for (job in pipeline) {
                if (lastOnlyThen && job === pipeline.last()) awaitEnds(job.dependencies)
                while (job.dependencies.any { !jobs.getValue(it).accepted }) delay(200)
                submit(job, null)
            }
        }
    }

    private suspend fun awaitEnds(ids: List<String>) {
        while (ids.any { jobs.getValue(it).acknowledgedStatus == null }) delay(500)
    }

    /** The job's user cancels it, and asks until that is acknowledged. */
    fun cancel(job: SimJob, afterMillis: Long) {
        scope.launch {
            delay(afterMillis)
            while (!job.accepted) delay(500)
            job.cancelAsked = true
            while (job.acknowledgedStatus == null) {
                ask("POST", "/v1/jobs/${job.id}/cancel", ByteArray(0))?.let { hear(job, it) }
                delay(1_000)
            }
        }
    }

    /** Cancels [job], or jobs that depend on it, now and then when it is done. */
    fun onTaskDone(job: SimJob) {
        if (!world.isCompleted(job)) return
        if (!job.cancelAsked && random.nextDouble() < cancelledAtEnd) cancel(job, random.nextLong(1_500))
        for (dependent in jobs.values.filter { job.id in it.dependencies && !it.cancelAsked }) {
            if (random.nextDouble() < dependentsCancelledAtEnd) cancel(dependent, random.nextLong(3_000))
        }
    }

    /** Asks all controllers about [job], [times] times within milliseconds. */
    fun pollEverywhere(job: SimJob, times: Int) {
        scope.launch {
            repeat(times) {
                repeat(CONTROLLERS) { at -> scope.launch { poll(job, at) } }
                delay(random.nextLong(1, 40))
            }
        }
    }

    private suspend fun poll(job: SimJob, at: Int = random.nextInt(CONTROLLERS)) {
        if (quiet) return
        val sent = clock.nowMicros()
        val reply = ask("GET", "/v1/jobs/${job.id}", ByteArray(0), at) ?: return
        if (reply.status == 404) checks.report(Invariant.ACCEPTED_JOB_IS_KNOWN, job.id, "is unknown")
        hear(job, reply, sent)
    }

    private fun hear(job: SimJob, reply: HttpResponse, sentMicros: Long = clock.nowMicros()) {
        if (reply.status != 200) return
        val status = Cbor.decodeMap(reply.body).text("status")
        checks.checkStatus(job, status, sentMicros)
        if (status !in TERMINAL_STATUSES) return
        if (status == "withdrawn" && job.cancelledMicros == null) job.cancelledMicros = clock.nowMicros()
        if (job.acknowledgedStatus == null) job.acknowledgedMicros = clock.nowMicros()
        job.acknowledgedStatus = status
    }

    /** What users also ask: submissions again, cancellations of what is over, jobs that are nowhere, that cannot run, or lack a field. */
    suspend fun sendUnusualRequests() {
        val job = jobs.values.filter { it.accepted }.randomOrNull(random) ?: return
        submitAcceptedAgain(job)
        jobs.values.filter { it.acknowledgedStatus != null }.randomOrNull(random)?.let { over ->
            ask("POST", "/v1/jobs/${over.id}/cancel", ByteArray(0))?.let { hear(over, it) }
        }
        val id = "req-99%04d".format(random.nextInt(10_000))
        if (ask("GET", "/v1/jobs/$id", ByteArray(0))?.status == 200) {
            checks.report(Invariant.UNKNOWN_JOB_IS_UNKNOWN, id, "answered 200")
        }
        sendMalformedSubmissions(job.body() + ("name_id" to id), id)
    }

    private suspend fun submitAcceptedAgain(job: SimJob) {
        val sent = clock.nowMicros()
        val reply = ask("POST", "/v1/jobs", Cbor.encode(job.body())) ?: return
        if (reply.status !in setOf(200, 503)) {
            checks.report(Invariant.ACCEPTED_JOB_IS_KNOWN, job.id, "answered ${reply.status} to a repeated submission")
        }
        hear(job, reply, sent)
    }

    private suspend fun sendMalformedSubmissions(body: Map<String, Any?>, id: String) {
        expectRefusal(422, body + ("crew" to "nobody"))
        expectRefusal(422, body + ("vcpus" to 1_000.0))
        expectRefusal(422, body + ("builds" to listOf("none")))
        expectRefusal(422, body + ("yard" to "nowhere"))
        for (field in body.keys - setOf("due_s", "awaits")) expectRefusal(400, body - field)
        expectRefusal(400, body + ("awaits" to listOf("nonsense")))
        expectRefusal(422, body + ("awaits" to listOf(id)))
    }

    private suspend fun expectRefusal(status: Int, body: Map<String, Any?>) {
        val reply = ask("POST", "/v1/jobs", Cbor.encode(body)) ?: return
        if (reply.status != status && reply.status != 503) {
            checks.report(Invariant.REFUSAL_STATUS, "${body["name_id"]}", "${reply.status} instead of $status for $body")
        }
    }

    private suspend fun ask(method: String, path: String, body: ByteArray, at: Int = random.nextInt(CONTROLLERS)): HttpResponse? =
        withTimeoutOrNull(ANSWER_MILLIS) { world.send(at, method, path, body) }

    private companion object {
        const val ANSWER_MILLIS = 5_000L
    }
}

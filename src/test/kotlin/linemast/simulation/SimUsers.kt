package linemast.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import linemast.admission.AdmissionPlan
import linemast.serialization.Cbor
import linemast.transport.HttpResponse

/** Statuses of a job that has ended. */
internal val TERMINAL_STATUSES = setOf("done", "withdrawn")

/** The users of a [SimWorld]: they submit jobs, poll their status and cancel them. */
class SimUsers(private val world: SimWorld) {
    private val clock = world.clock
    private val random = world.random
    private val scope = world.scope
    private val jobs get() = world.jobs
    private val checks get() = world.checks

    /** Probability that a job is cancelled within 1.5 s of the completion of its last task. */
    var cancelAtCompletionProbability = 0.0

    /** Probability that a job is cancelled within 3 s of the completion of a job that it depends on. */
    var cancelDependentAtCompletionProbability = 0.0

    /** Whether the users do not poll the status of jobs. */
    var pollingSuspended = false

    /** Returns the controller that a submission of the job is sent to. */
    var chooseController: (SimJob) -> Int = { random.nextInt(CONTROLLER_COUNT) }

    /** Called with each response to a submission. */
    var onSubmissionResponse: (id: String, status: Int) -> Unit = { _, _ -> }

    /** Called with each response to a submission during which the admission plan of the controller did not change. */
    var onSubmissionUnderPlan: (id: String, status: Int, plan: AdmissionPlan) -> Unit = { _, _, _ -> }

    /** Submits [job] until it is accepted, then polls its status; cancels it after [cancelAfterMillis] if that is given. */
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

    /** Retries the submission until it is accepted; returns false if [SimJob.submitTimeoutMicros] passes before. */
    private suspend fun submitUntilAccepted(job: SimJob): Boolean {
        job.submittedMicros = clock.nowMicros()
        while (!job.accepted) {
            if (clock.nowMicros() - job.submittedMicros > job.submitTimeoutMicros) return false
            val response = submitOnce(job)
            val status = response?.status
            if (status == 200 || status == 201) {
                job.accepted = true
                job.acceptedMicros = clock.nowMicros()
            }
            if (status == 400 || status == 422) checks.recordViolation(Invariant.ACCEPTED_JOB_IS_KNOWN, job.id, "rejected with $status")
            if (status == 429) job.deferralCount++
            delay(maxOf(1, response?.retryAfterSeconds ?: 1) * 1_000L)
        }
        return true
    }

    private suspend fun submitOnce(job: SimJob): HttpResponse? {
        val controller = chooseController(job)
        val plan = world.admissionPlanOf(controller)
        val response = sendRequest("POST", "/v1/jobs", Cbor.encode(job.submissionBody()), controller)
        if (response != null) onSubmissionResponse(job.id, response.status)
        if (response != null && plan != null && plan == world.admissionPlanOf(controller)) {
            onSubmissionUnderPlan(job.id, response.status, plan)
        }
        return response
    }

    /** Submits [job] once more, in addition to the submissions of [submit]. */
    fun resubmit(job: SimJob) {
        scope.launch { submitOnce(job) }
    }

    /**
     * Submits the jobs of a pipeline in order, each as soon as its dependencies are accepted; with
     * [submitLastAfterDependencies] the last one only when its dependencies have ended.
     */
    fun submitPipeline(pipeline: List<SimJob>, submitLastAfterDependencies: Boolean = false) {
        scope.launch {
            for (job in pipeline) {
                if (submitLastAfterDependencies && job === pipeline.last()) awaitTerminalStatuses(job.dependencies)
                while (job.dependencies.any { !jobs.getValue(it).accepted }) delay(200)
                submit(job, null)
            }
        }
    }

    private suspend fun awaitTerminalStatuses(ids: List<String>) {
        while (ids.any { jobs.getValue(it).acknowledgedStatus == null }) delay(500)
    }

    /** Sends cancellations of [job] until a response has a terminal status. */
    fun cancel(job: SimJob, afterMillis: Long) {
        scope.launch {
            delay(afterMillis)
            while (!job.accepted) delay(500)
            job.cancelRequested = true
            while (job.acknowledgedStatus == null) {
                sendRequest("POST", "/v1/jobs/${job.id}/cancel", ByteArray(0))?.let { recordResponse(job, it) }
                delay(1_000)
            }
        }
    }

    /** Cancels [job], or jobs that depend on it, with the given probabilities when its last task has completed. */
    fun onTaskDone(job: SimJob) {
        if (!world.isCompleted(job)) return
        if (!job.cancelRequested && random.nextDouble() < cancelAtCompletionProbability) cancel(job, random.nextLong(1_500))
        for (dependent in jobs.values.filter { job.id in it.dependencies && !it.cancelRequested }) {
            if (random.nextDouble() < cancelDependentAtCompletionProbability) cancel(dependent, random.nextLong(3_000))
        }
    }

    /** Polls the status of [job] at all controllers, [times] times within milliseconds. */
    fun pollAllControllers(job: SimJob, times: Int) {
        scope.launch {
            repeat(times) {
                repeat(CONTROLLER_COUNT) { controller -> scope.launch { poll(job, controller) } }
                delay(random.nextLong(1, 40))
            }
        }
    }

    private suspend fun poll(job: SimJob, controller: Int = random.nextInt(CONTROLLER_COUNT)) {
        if (pollingSuspended) return
        val sentMicros = clock.nowMicros()
        val response = sendRequest("GET", "/v1/jobs/${job.id}", ByteArray(0), controller) ?: return
        if (response.status == 404) checks.recordViolation(Invariant.ACCEPTED_JOB_IS_KNOWN, job.id, "is unknown")
        recordResponse(job, response, sentMicros)
    }

    private fun recordResponse(job: SimJob, response: HttpResponse, sentMicros: Long = clock.nowMicros()) {
        if (response.status != 200) return
        val status = Cbor.decodeMap(response.body).text("status")
        checks.checkStatus(job, status, sentMicros)
        if (status !in TERMINAL_STATUSES) return
        if (status == "withdrawn" && job.cancelledMicros == null) job.cancelledMicros = clock.nowMicros()
        if (job.acknowledgedStatus == null) job.acknowledgedMicros = clock.nowMicros()
        job.acknowledgedStatus = status
    }

    /**
     * Sends requests at the edge of the protocol: a repeated submission, a cancellation of a job that has ended, a poll of an
     * unknown job, and submissions of jobs that cannot run or lack a field.
     */
    suspend fun sendUnusualRequests() {
        val job = jobs.values.filter { it.accepted }.randomOrNull(random) ?: return
        resubmitAccepted(job)
        jobs.values.filter { it.acknowledgedStatus != null }.randomOrNull(random)?.let { ended ->
            sendRequest("POST", "/v1/jobs/${ended.id}/cancel", ByteArray(0))?.let { recordResponse(ended, it) }
        }
        val id = "req-99%04d".format(random.nextInt(10_000))
        if (sendRequest("GET", "/v1/jobs/$id", ByteArray(0))?.status == 200) {
            checks.recordViolation(Invariant.UNKNOWN_JOB_IS_UNKNOWN, id, "got status 200")
        }
        sendMalformedSubmissions(job.submissionBody() + ("name_id" to id), id)
    }

    private suspend fun resubmitAccepted(job: SimJob) {
        val sentMicros = clock.nowMicros()
        val response = sendRequest("POST", "/v1/jobs", Cbor.encode(job.submissionBody())) ?: return
        if (response.status !in setOf(200, 503)) {
            checks.recordViolation(Invariant.ACCEPTED_JOB_IS_KNOWN, job.id, "got status ${response.status} for a repeated submission")
        }
        recordResponse(job, response, sentMicros)
    }

    private suspend fun sendMalformedSubmissions(body: Map<String, Any?>, id: String) {
        expectRejection(422, body + ("crew" to "nobody"))
        expectRejection(422, body + ("vcpus" to 1_000.0))
        expectRejection(422, body + ("builds" to listOf("none")))
        expectRejection(422, body + ("yard" to "nowhere"))
        for (field in body.keys - setOf("due_s", "awaits")) expectRejection(400, body - field)
        expectRejection(400, body + ("awaits" to listOf("nonsense")))
        expectRejection(422, body + ("awaits" to listOf(id)))
    }

    private suspend fun expectRejection(status: Int, body: Map<String, Any?>) {
        val response = sendRequest("POST", "/v1/jobs", Cbor.encode(body)) ?: return
        if (response.status != status && response.status != 503) {
            checks.recordViolation(Invariant.REJECTION_STATUS, "${body["name_id"]}", "got ${response.status} instead of $status for $body")
        }
    }

    private suspend fun sendRequest(
        method: String,
        path: String,
        body: ByteArray,
        controller: Int = random.nextInt(CONTROLLER_COUNT),
    ): HttpResponse? = withTimeoutOrNull(RESPONSE_TIMEOUT_MILLIS) { world.send(controller, method, path, body) }

    private companion object {
        const val RESPONSE_TIMEOUT_MILLIS = 5_000L
    }
}

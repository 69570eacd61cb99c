package linemast.jobs

import linemast.domain.JobProgress
import linemast.serialization.Cbor

/** What users are told of a job. */
enum class JobState(val wire: String) {
    PENDING("pending"),
    RUNNING("running"),
    DONE("done"),
    CANCELLED("withdrawn"),
}

/** The bodies of answers to users. */
internal object JobResponses {
    /** A submission was accepted. */
    fun accepted(id: String, state: JobState): ByteArray = Cbor.encode(mapOf("name_id" to id, "status" to state.wire))

    /** The state of a job, with counts of its tasks for display. */
    fun state(id: String, state: JobState, progress: JobProgress): ByteArray =
        Cbor.encode(mapOf("name_id" to id, "status" to state.wire, "done" to progress.done, "running" to progress.running))

    /** A submission can never be accepted. */
    fun refused(reason: String): ByteArray = Cbor.encode(mapOf("error" to reason))
}

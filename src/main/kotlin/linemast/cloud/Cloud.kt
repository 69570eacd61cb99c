package linemast.cloud

import linemast.domain.MachineType

/** Machines in one page of the cloud's list, at most; its limit. */
const val MAX_MACHINES_PER_LIST_CALL = 500

/** Machines that one scale-in call may name, at most; the cloud's limit. */
const val MAX_MACHINES_PER_SCALE_IN_CALL = 100

/** The cloud's API, as far as the controllers use it. All calls throw a [CloudException] unless they say otherwise. */
interface Cloud {
    /** The machine types on offer. */
    suspend fun listMachineTypes(): List<MachineType>

    /** All machines, ordered by name. The list is eventually consistent. */
    suspend fun listMachines(): List<ListedMachine>

    /** Requests machines; idempotent per request id. A missing answer is [ScaleOutResult.Unknown] rather than an exception. */
    suspend fun scaleOut(request: ScaleOutRequest): ScaleOutResult

    /** Removes machines and returns once they are gone; idempotent, and unknown names are ignored. */
    suspend fun scaleIn(names: List<String>)
}

/** A machine as the cloud lists it. */
class ListedMachine(
    /** Name of the machine; never reused. */
    val name: String,
    /** Address of its worker; empty while it has none. */
    val address: String,
    /** Name of its [MachineType]. */
    val machineType: String,
    /** Zone of the cloud that it stands in. */
    val zone: String,
    /** Whether it is a spot machine, which the cloud may preempt. */
    val spot: Boolean,
    /** The cloud's word for its state; see [CloudMachine]. */
    val status: String,
    /** Time since it was granted. */
    val ageMicros: Long,
)

/** A request for [machineCount] machines of one shape. Repeated under the same [requestId] it grants no further machines. */
data class ScaleOutRequest(
    val requestId: String,
    /** Name of the [MachineType]. */
    val machineType: String,
    /** Zone of the cloud in which the machines are to be. */
    val zone: String,
    /** Whether spot machines are requested. */
    val spot: Boolean,
    val machineCount: Int,
)

/** Outcome of a [ScaleOutRequest]. */
sealed interface ScaleOutResult {
    /** The cloud granted the machines called [names], possibly fewer than requested. */
    class Granted(val names: List<String>) : ScaleOutResult

    /** The cloud granted nothing: it has no capacity now, or took the request to be malformed. */
    data object NoCapacity : ScaleOutResult

    /** No usable answer arrived; the request may have been carried out and has to be repeated under the same id. */
    data object Unknown : ScaleOutResult
}

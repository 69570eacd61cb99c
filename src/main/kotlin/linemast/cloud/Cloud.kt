package linemast.cloud

import linemast.domain.MachineType

/** The cloud's limit on the number of machines in one page of its machine list. */
const val MAX_MACHINES_PER_LIST_CALL = 500

/** The cloud's limit on the number of machines that one scale-in call may name. */
const val MAX_MACHINES_PER_SCALE_IN_CALL = 100

/** The cloud's API, as far as the controllers use it. Calls throw a [CloudException] unless documented otherwise. */
interface Cloud {
    /** Returns the machine types that the cloud offers. */
    suspend fun listMachineTypes(): List<MachineType>

    /** Returns all machines, ordered by name. The list is eventually consistent. */
    suspend fun listMachines(): List<ListedMachine>

    /**
     * Requests machines; idempotent per request id. Returns [ScaleOutResult.Unknown] instead of throwing an exception if no response
     * arrives.
     */
    suspend fun scaleOut(request: ScaleOutRequest): ScaleOutResult

    /** Removes machines and returns once they no longer exist. Idempotent; unknown names are ignored. */
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
    /** Zone of the cloud in which it runs. */
    val zone: String,
    /** Whether it is a spot machine, which the cloud may preempt. */
    val spot: Boolean,
    /** Its status as the cloud reports it; see [CloudMachine]. */
    val status: String,
    /** Time since the cloud granted it. */
    val ageMicros: Long,
)

/** A request for [machineCount] machines of one shape. A repetition under the same [requestId] grants no further machines. */
data class ScaleOutRequest(
    val requestId: String,
    /** Name of the [MachineType]. */
    val machineType: String,
    /** Zone of the cloud in which the machines are requested. */
    val zone: String,
    /** Whether spot machines are requested. */
    val spot: Boolean,
    val machineCount: Int,
)

/** Outcome of a [ScaleOutRequest]. */
sealed interface ScaleOutResult {
    /** The cloud granted the machines called [names], possibly fewer than requested. */
    class Granted(val names: List<String>) : ScaleOutResult

    /** The cloud granted nothing: it has no capacity now, or rejected the request as malformed. */
    data object NoCapacity : ScaleOutResult

    /** No usable response arrived. The request may have been carried out and has to be repeated under the same id. */
    data object Unknown : ScaleOutResult
}

package linemast.cloud

import linemast.serialization.Fields

/** The wire form of requests to the cloud and of its answers; the names of the protocol are mapped here only. */
internal object CloudCodec {
    private const val MACHINES = "rigs"

    /** The `error` text of an answer that means [ScaleOutResult.NoCapacity]. */
    private const val NO_CAPACITY = "no capacity"

    /** A page of the machine list. */
    class MachinePage(
        val machines: List<ListedMachine>,
        /** Whether another page follows. */
        val truncated: Boolean,
    )

    /** Path of the page of the machine list that begins after the machine [lastName], or at the first one if that is null. */
    fun machinePagePath(lastName: String?): String =
        "/machines?limit=$MAX_MACHINES_PER_LIST_CALL" + if (lastName == null) "" else "&after=$lastName"

    /** Reads a page of the machine list. */
    fun decodeMachinePage(fields: Fields) =
        MachinePage(fields.children(MACHINES).map(::decodeMachine), fields.flagOrNull("truncated") ?: false)

    private fun decodeMachine(fields: Fields) = ListedMachine(
        name = fields.text("name_id"),
        address = fields.textOrNull("addr") ?: "",
        machineType = fields.text("build"),
        zone = fields.text("yard"),
        spot = fields.flagOrNull("loaners") ?: false,
        status = fields.text("status"),
        ageMicros = fields.durationMicrosOrNull("age_s") ?: 0L,
    )

    /** The body of a scale-out request. */
    fun encodeScaleOut(request: ScaleOutRequest): Map<String, Any?> = mapOf(
        "charter" to request.requestId,
        "build" to request.machineType,
        "yard" to request.zone,
        "loaners" to request.spot,
        "number" to request.machineCount,
    )

    /** The names of the machines that a scale-out request was granted. */
    fun decodeGrantedNames(fields: Fields): List<String> = fields.textsOrNull(MACHINES) ?: emptyList()

    /** Whether an answer with the status 503 says that there is no capacity, and not that the cloud has trouble. */
    fun isNoCapacity(fields: Fields): Boolean = fields.textOrNull("error") == NO_CAPACITY

    /** The body of a scale-in request. */
    fun encodeScaleIn(names: List<String>): Map<String, Any?> = mapOf(MACHINES to names)
}

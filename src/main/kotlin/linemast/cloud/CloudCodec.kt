package linemast.cloud

import linemast.serialization.Fields

/** Encodes requests to the cloud and decodes its responses; only this codec maps the names of the protocol. */
internal object CloudCodec {
    private const val MACHINES = "rigs"

    /** The `error` text of a response that means [ScaleOutResult.NoCapacity]. */
    private const val NO_CAPACITY = "no capacity"

    /** A page of the machine list. */
    class MachinePage(
        val machines: List<ListedMachine>,
        /** Whether another page follows. */
        val truncated: Boolean,
    )

    /** Returns the path of the page of the machine list that begins after machine [lastName], or of the first page if it is null. */
    fun machinePagePath(lastName: String?): String =
        "/machines?limit=$MAX_MACHINES_PER_LIST_CALL" + if (lastName == null) "" else "&after=$lastName"

    /** Decodes a page of the machine list. */
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

    /** Returns the body of a scale-out request. */
    fun encodeScaleOut(request: ScaleOutRequest): Map<String, Any?> = mapOf(
        "charter" to request.requestId,
        "build" to request.machineType,
        "yard" to request.zone,
        "loaners" to request.spot,
        "number" to request.machineCount,
    )

    /** Returns the names of the machines that the cloud granted to a scale-out request. */
    fun decodeGrantedNames(fields: Fields): List<String> = fields.textsOrNull(MACHINES) ?: emptyList()

    /** Whether a response with the status 503 reports a lack of capacity, and not a fault in the cloud. */
    fun isNoCapacity(fields: Fields): Boolean = fields.textOrNull("error") == NO_CAPACITY

    /** Returns the body of a scale-in request. */
    fun encodeScaleIn(names: List<String>): Map<String, Any?> = mapOf(MACHINES to names)
}

package linemast.duties

import linemast.cloud.ScaleOutRequest
import linemast.serialization.Fields
import linemast.settings.Duty

/** Encodes and decodes the stored form of intents; only this object maps the field names in the store. */
object IntentCodec {
    /** Prefix of the numbered slots that hold intents. */
    const val PREFIX = "duty/"

    /** Returns the key of [slot]. */
    fun key(slot: Int): String = "$PREFIX$slot"

    /** Returns the slot that [key] belongs to; null if [key] is not the key of a slot. */
    fun slot(key: String): Int? = key.removePrefix(PREFIX).toIntOrNull()?.takeIf { it >= 0 && key(it) == key }

    /** Returns the stored form of [intent]. */
    fun encode(intent: Intent): Map<String, Any?> = buildMap {
        put("helm", intent.id.fencingToken)
        put("n", intent.id.number)
        put("duty", intent.action.duty.storedName)
        put("state", intent.state.storedName)
        put("at_us", intent.decidedWallMicros)
        put("count", intent.machineCount)
        intent.closedByToken?.let { put("closed_by", it) }
        when (val action = intent.action) {
            is CloudAction.ScaleOut -> put("rental", encodeRequest(action.request))
            is CloudAction.ScaleIn -> put("rigs", action.names)
        }
    }

    private fun encodeRequest(request: ScaleOutRequest): Map<String, Any?> = mapOf(
        "charter" to request.requestId,
        "build" to request.machineType,
        "yard" to request.zone,
        "loaners" to request.spot,
        "number" to request.machineCount,
    )

    /** Decodes the stored form of an intent; throws a `MalformedException` for any other value. */
    fun decode(fields: Fields): Intent {
        val duty = Duty.of(fields.text("duty")) ?: fields.fail("duty", "must be one of rent, return, reclaim, clean-up")
        return Intent(
            id = IntentId(fields.long("helm"), fields.long("n")),
            action = decodeAction(duty, fields),
            decidedWallMicros = fields.long("at_us"),
            state = IntentState.of(fields.text("state"))
                ?: fields.fail("state", "must be one of open, carried-out, refused, abandoned"),
            machineCount = fields.long("count").toInt(),
            closedByToken = fields.longOrNull("closed_by"),
        )
    }

    private fun decodeAction(duty: Duty, fields: Fields): CloudAction {
        if (duty == Duty.SCALE_OUT) return CloudAction.ScaleOut(decodeRequest(fields.child("rental")))
        val names = fields.textsOrNull("rigs") ?: fields.fail("rigs", "is missing")
        return CloudAction.ScaleIn(names, duty)
    }

    private fun decodeRequest(fields: Fields) = ScaleOutRequest(
        requestId = fields.text("charter"),
        machineType = fields.text("build"),
        zone = fields.text("yard"),
        spot = fields.flag("loaners"),
        machineCount = fields.long("number").toInt(),
    )
}

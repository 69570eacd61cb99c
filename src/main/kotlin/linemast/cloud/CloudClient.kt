package linemast.cloud

import kotlinx.coroutines.delay
import linemast.domain.MachineType
import linemast.serialization.Cbor
import linemast.serialization.Fields
import linemast.serialization.MalformedException
import linemast.settings.CloudLimits
import linemast.store.RequestPriority
import linemast.store.TokenBucket
import linemast.time.Clock
import linemast.time.SECOND_MICROS
import linemast.transport.Address
import linemast.transport.EventLoop
import linemast.transport.HttpClient
import linemast.transport.HttpReply
import linemast.transport.HttpStatus
import linemast.transport.NoAnswerException

/** As many machines as the cloud lists in one call. */
const val MAX_MACHINES_PER_LIST_CALL = 500

/** As many machines as the cloud takes back in one call. */
const val MAX_MACHINES_PER_SCALE_IN_CALL = 100

/** A machine as the cloud lists it; the list lags behind. */
class ListedMachine(
    val name: String,
    val addr: String,
    val machineType: String,
    val zone: String,
    val spot: Boolean,
    val status: String,
    val ageMicros: Long,
)

/** A request for [number] machines of one shape. Repeated under the same [requestId] it rents at most once. */
data class ScaleOutRequest(val requestId: String, val machineType: String, val zone: String, val spot: Boolean, val number: Int)

/** What became of a rental request. */
sealed interface ScaleOutResult {
    /** Machines were rented, possibly fewer than requested. */
    class Granted(val names: List<String>) : ScaleOutResult

    /** The cloud has none to give now. */
    data object NoCapacity : ScaleOutResult

    /** Nothing is known: the same request id has to be sent again. */
    data object Unknown : ScaleOutResult
}

/** A call to the cloud that gave no usable answer. */
open class CloudException(message: String) : Exception(message)

/** The cloud, as much of it as the controllers use. Tests put a stand-in behind it. */
interface Cloud {
    /** The machine types that can be rented. */
    suspend fun types(): List<MachineType>

    /** All machines in the order of their names. */
    suspend fun machines(): List<ListedMachine>

    /** Rents machines. */
    suspend fun scaleOut(request: ScaleOutRequest): ScaleOutResult

    /** Returns once the machines are surely gone. */
    suspend fun scaleIn(names: List<String>)
}

/** The cloud over HTTP, within its limit of calls per second. */
class CloudClient(loop: EventLoop, address: Address, limits: CloudLimits, private val clock: Clock) : Cloud {
    private val http = HttpClient(loop, address, MAX_CALLS)
    private val tokens = TokenBucket(limits.rps * USED_SHARE)

    override suspend fun types(): List<MachineType> = read(call("GET", "/machine_types", null, RequestPriority.CRITICAL)) {
        MachineTypeCodec.decode(it)
    }

    override suspend fun machines(): List<ListedMachine> {
        val all = ArrayList<ListedMachine>()
        var after = ""
        while (true) {
            val path = "/machines?limit=$MAX_MACHINES_PER_LIST_CALL" + if (after.isEmpty()) "" else "&after=$after"
            val truncated = read(call("GET", path, null, RequestPriority.NORMAL)) { page ->
                page.children("rigs").mapTo(all, ::machine)
                page.flagOrNull("truncated") ?: false
            }
            if (!truncated || all.isEmpty() || all.last().name == after) return all
            after = all.last().name
        }
    }

    override suspend fun scaleOut(request: ScaleOutRequest): ScaleOutResult {
        val body = mapOf(
            "charter" to request.requestId,
            "build" to request.machineType,
            "yard" to request.zone,
            "loaners" to request.spot,
            "number" to request.number,
        )
        val reply = try {
            call("POST", "/machines", Cbor.encode(body), RequestPriority.CRITICAL)
        } catch (e: CloudException) {
            return ScaleOutResult.Unknown
        }
        return when (reply.status) {
            HttpStatus.OK -> read(reply) { ScaleOutResult.Granted(it.textsOrNull("rigs") ?: emptyList()) }
            HttpStatus.SERVICE_UNAVAILABLE -> {
                val reason = runCatching { reply.fields().textOrNull("error") }.getOrNull()
                if (reason == "no capacity") ScaleOutResult.NoCapacity else ScaleOutResult.Unknown
            }
            HttpStatus.TOO_MANY_REQUESTS -> ScaleOutResult.Unknown
            else -> throw CloudException("the cloud answered ${reply.status} to a rental")
        }
    }

    override suspend fun scaleIn(names: List<String>) {
        for (part in names.chunked(MAX_MACHINES_PER_SCALE_IN_CALL)) {
            val reply = call("POST", "/machines/return", Cbor.encode(mapOf("rigs" to part)), RequestPriority.CRITICAL)
            if (reply.status != HttpStatus.OK) throw CloudException("the cloud answered ${reply.status} to a return")
        }
    }

    private fun machine(fields: Fields) = ListedMachine(
        name = fields.text("name_id"),
        addr = fields.textOrNull("addr") ?: "",
        machineType = fields.text("build"),
        zone = fields.text("yard"),
        spot = fields.flagOrNull("loaners") ?: false,
        status = fields.text("status"),
        ageMicros = fields.microsOrNull("age_s") ?: 0L,
    )

    private suspend fun call(method: String, path: String, body: ByteArray?, priority: RequestPriority): HttpReply {
        while (!tokens.tryTake(1, priority, clock.nowMicros())) {
            delay(tokens.waitMicros(1, priority, clock.nowMicros()) / 1_000 + 1)
        }
        return try {
            http.call(method, path, body, CALL_TIMEOUT_MICROS)
        } catch (e: NoAnswerException) {
            throw CloudException(e.message ?: "no answer")
        }
    }

    private inline fun <T> read(reply: HttpReply, decode: (Fields) -> T): T {
        if (reply.status != HttpStatus.OK) throw CloudException("the cloud answered ${reply.status}")
        return try {
            decode(reply.fields())
        } catch (e: MalformedException) {
            throw CloudException("malformed answer from the cloud: ${e.message}")
        }
    }

    private companion object {
        const val MAX_CALLS = 3
        const val USED_SHARE = 0.8
        const val CALL_TIMEOUT_MICROS = 5 * SECOND_MICROS
    }
}

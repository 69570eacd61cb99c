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
import linemast.time.MICROS_PER_MILLI
import linemast.time.SECOND_MICROS
import linemast.transport.Address
import linemast.transport.EventLoop
import linemast.transport.HttpClient
import linemast.transport.HttpReply
import linemast.transport.HttpStatus
import linemast.transport.NoAnswerException

/** The cloud's API over HTTP, within its limit of calls per second. */
class CloudClient(loop: EventLoop, address: Address, limits: CloudLimits, private val clock: Clock) : Cloud {
    private val http = HttpClient(loop, address, MAX_CONCURRENT_CALLS)
    private val tokens = TokenBucket(limits.rps * USED_SHARE_OF_LIMIT)

    override suspend fun types(): List<MachineType> =
        decode(call("GET", "/machine_types", null, RequestPriority.CRITICAL), MachineTypeCodec::decode)

    override suspend fun machines(): List<ListedMachine> {
        val all = ArrayList<ListedMachine>()
        var lastName: String? = null
        while (true) {
            val reply = call("GET", CloudCodec.machinePagePath(lastName), null, RequestPriority.NORMAL)
            val page = decode(reply, CloudCodec::decodeMachinePage)
            all += page.machines
            // A page that does not get any further must not keep the loop going.
            if (!page.truncated || all.isEmpty() || all.last().name == lastName.orEmpty()) return all
            lastName = all.last().name
        }
    }

    override suspend fun scaleOut(request: ScaleOutRequest): ScaleOutResult {
        val reply = try {
            call("POST", "/machines", Cbor.encode(CloudCodec.encode(request)), RequestPriority.CRITICAL)
        } catch (e: CloudException.NoAnswer) {
            return ScaleOutResult.Unknown
        }
        return when (reply.status) {
            HttpStatus.OK -> ScaleOutResult.Granted(decode(reply, CloudCodec::decodeGranted))
            HttpStatus.SERVICE_UNAVAILABLE -> if (isNoCapacity(reply)) ScaleOutResult.NoCapacity else ScaleOutResult.Unknown
            HttpStatus.TOO_MANY_REQUESTS -> ScaleOutResult.Unknown
            else -> throw refused(reply, "a scale-out")
        }
    }

    override suspend fun scaleIn(names: List<String>) {
        for (part in names.chunked(MAX_MACHINES_PER_SCALE_IN_CALL)) {
            val body = Cbor.encode(CloudCodec.encodeScaleIn(part))
            val reply = call("POST", "/machines/return", body, RequestPriority.CRITICAL)
            if (reply.status != HttpStatus.OK) throw refused(reply, "a scale-in")
        }
    }

    /** Any body that cannot be read means trouble of the cloud rather than a lack of capacity. */
    private fun isNoCapacity(reply: HttpReply): Boolean = try {
        CloudCodec.isNoCapacity(reply.fields())
    } catch (e: MalformedException) {
        false
    }

    /** Waits until the limit of calls allows this one, then makes it. */
    private suspend fun call(method: String, path: String, body: ByteArray?, priority: RequestPriority): HttpReply {
        while (!tokens.tryTake(1, priority, clock.nowMicros())) {
            delay(tokens.waitMicros(1, priority, clock.nowMicros()) / MICROS_PER_MILLI + 1)
        }
        return try {
            http.call(method, path, body, CALL_TIMEOUT_MICROS)
        } catch (e: NoAnswerException) {
            throw CloudException.NoAnswer(e.message ?: "no answer", e)
        }
    }

    private fun <T> decode(reply: HttpReply, decode: (Fields) -> T): T {
        if (reply.status != HttpStatus.OK) throw refused(reply, "a query")
        return try {
            decode(reply.fields())
        } catch (e: MalformedException) {
            throw CloudException.MalformedAnswer("malformed answer from the cloud: ${e.message}", e)
        }
    }

    private fun refused(reply: HttpReply, call: String) =
        CloudException.Refused(reply.status, "the cloud answered ${reply.status} to $call")

    private companion object {
        const val MAX_CONCURRENT_CALLS = 3

        /** The rest of the limit absorbs clocks that differ from the cloud's. */
        const val USED_SHARE_OF_LIMIT = 0.8
        const val CALL_TIMEOUT_MICROS = 5 * SECOND_MICROS
    }
}

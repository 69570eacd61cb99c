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
import linemast.transport.HttpClientResponse
import linemast.transport.HttpStatus
import linemast.transport.NoResponseException

/** Calls the cloud's API over HTTP, within the cloud's limit of calls per second. */
class CloudClient(loop: EventLoop, address: Address, limits: CloudLimits, private val clock: Clock) : Cloud {
    private val http = HttpClient(loop, address, MAX_CONCURRENT_CALLS)
    private val rateLimiter = TokenBucket(limits.rps * USED_SHARE_OF_LIMIT)

    override suspend fun listMachineTypes(): List<MachineType> =
        decode(call("GET", "/machine_types", null, RequestPriority.CRITICAL), MachineTypeCodec::decode)

    override suspend fun listMachines(): List<ListedMachine> {
        val all = ArrayList<ListedMachine>()
        var lastName: String? = null
        while (true) {
            val response = call("GET", CloudCodec.machinePagePath(lastName), null, RequestPriority.NORMAL)
            val page = decode(response, CloudCodec::decodeMachinePage)
            all += page.machines
            // A page without machines after those of the previous page must not keep this loop going.
            if (!page.truncated || all.isEmpty() || all.last().name == lastName.orEmpty()) return all
            lastName = all.last().name
        }
    }

    override suspend fun scaleOut(request: ScaleOutRequest): ScaleOutResult {
        val response = try {
            call("POST", "/machines", Cbor.encode(CloudCodec.encodeScaleOut(request)), RequestPriority.CRITICAL)
        } catch (e: CloudException.NoResponse) {
            return ScaleOutResult.Unknown
        }
        return when (response.status) {
            HttpStatus.OK -> ScaleOutResult.Granted(decode(response, CloudCodec::decodeGrantedNames))
            HttpStatus.SERVICE_UNAVAILABLE -> if (isNoCapacity(response)) ScaleOutResult.NoCapacity else ScaleOutResult.Unknown
            HttpStatus.TOO_MANY_REQUESTS -> ScaleOutResult.Unknown
            else -> throw errorStatus(response, "a scale-out request")
        }
    }

    override suspend fun scaleIn(names: List<String>) {
        for (part in names.chunked(MAX_MACHINES_PER_SCALE_IN_CALL)) {
            val body = Cbor.encode(CloudCodec.encodeScaleIn(part))
            val response = call("POST", "/machines/return", body, RequestPriority.CRITICAL)
            if (response.status != HttpStatus.OK) throw errorStatus(response, "a scale-in request")
        }
    }

    /** Whether [response] reports a lack of capacity. An unreadable body means a fault in the cloud rather than a lack of capacity. */
    private fun isNoCapacity(response: HttpClientResponse): Boolean = try {
        CloudCodec.isNoCapacity(response.fields())
    } catch (e: MalformedException) {
        false
    }

    /** Waits until the limit of calls per second allows this call, then makes it. */
    private suspend fun call(method: String, path: String, body: ByteArray?, priority: RequestPriority): HttpClientResponse {
        while (!rateLimiter.tryTake(1, priority, clock.nowMicros())) {
            delay(rateLimiter.waitMicros(1, priority, clock.nowMicros()) / MICROS_PER_MILLI + 1)
        }
        return try {
            http.call(method, path, body, CALL_TIMEOUT_MICROS)
        } catch (e: NoResponseException) {
            throw CloudException.NoResponse(e.message ?: "no response from the cloud", e)
        }
    }

    private fun <T> decode(response: HttpClientResponse, decode: (Fields) -> T): T {
        if (response.status != HttpStatus.OK) throw errorStatus(response, "a list request")
        return try {
            decode(response.fields())
        } catch (e: MalformedException) {
            throw CloudException.MalformedResponse("malformed response from the cloud: ${e.message}", e)
        }
    }

    private fun errorStatus(response: HttpClientResponse, call: String) =
        CloudException.ErrorStatus(response.status, "the cloud responded with HTTP status ${response.status} to $call")

    private companion object {
        const val MAX_CONCURRENT_CALLS = 3

        /** The rest of the limit allows for differences between this controller's clock and the cloud's. */
        const val USED_SHARE_OF_LIMIT = 0.8
        const val CALL_TIMEOUT_MICROS = 5 * SECOND_MICROS
    }
}

package linemast.store

import linemast.serialization.Fields
import linemast.serialization.MalformedException
import linemast.settings.StoreLimits
import linemast.time.Clock
import linemast.time.SECOND_MICROS
import linemast.transport.Address
import linemast.transport.EventLoop
import linemast.transport.HttpClient
import linemast.transport.HttpClientResponse
import linemast.transport.HttpStatus
import linemast.transport.NoResponseException

/**
 * Calls the key-value store over HTTP, within this controller's share of the store's rate limits.
 *
 * Calls fail with a [StoreException]. Lease calls and watches have connections of their own, so that neither of them waits
 * for other calls.
 */
class KeyValueStoreClient(loop: EventLoop, address: Address, limits: StoreLimits, controllerCount: Int, clock: Clock) : KeyValueStore {
    private val calls = HttpClient(loop, address, MAX_CALL_CONNECTIONS, MAX_RESPONSE_BYTES)
    private val leaseCalls = HttpClient(loop, address, 1)
    private val watches = HttpClient(loop, address, MAX_WATCH_CONNECTIONS, MAX_RESPONSE_BYTES)
    private val rateLimiter = StoreRateLimiter(limits, controllerCount, clock)

    /** Sets whether this controller is the leader, whose share of the writes is larger. */
    fun setLeader(isLeader: Boolean) = rateLimiter.setLeader(isLeader)

    override suspend fun get(key: String, priority: RequestPriority): Entry? {
        val response = call(calls, "GET", StoreCodec.entryPath(key), null, priority)
        if (response.status == HttpStatus.NOT_FOUND) return null
        return decode(response, StoreCodec::decodeEntry)
    }

    override suspend fun list(prefix: String, after: String?): EntryPage {
        val response = call(calls, "GET", StoreCodec.listPath(prefix, after), null, RequestPriority.NORMAL)
        return decode(response, StoreCodec::decodePage)
    }

    override suspend fun commit(preconditions: List<Precondition>, writes: List<Write>, priority: RequestPriority): CommitResult {
        rateLimiter.awaitWrites(writes.size, priority)
        val body = StoreCodec.encodeTransaction(preconditions, writes)
        val response = call(calls, "POST", StoreCodec.COMMIT_PATH, body, priority)
        return when (response.status) {
            HttpStatus.OK -> decode(response, StoreCodec::decodeApplied)
            HttpStatus.CONFLICT -> CommitResult.Conflict(failedKeys(response))
            HttpStatus.BAD_REQUEST ->
                if (writes.any { it is Write.Put && it.lease != null }) CommitResult.NoSuchLease else throwErrorStatus(response)
            else -> throwErrorStatus(response)
        }
    }

    /**
     * Returns the keys whose preconditions failed. The status alone shows that nothing was applied, so an unreadable body is no
     * error: the list of keys is then empty.
     */
    private fun failedKeys(response: HttpClientResponse): List<String> =
        runCatching { StoreCodec.decodeFailedKeys(response.fields()) }.getOrDefault(emptyList())

    override suspend fun watch(prefix: String, afterRevision: Long, waitMicros: Long): WatchResult {
        val path = StoreCodec.watchPath(prefix, afterRevision, waitMicros)
        val response = call(watches, "GET", path, null, RequestPriority.NORMAL, waitMicros + WATCH_RESPONSE_MARGIN_MICROS)
        if (response.status == HttpStatus.GONE) return WatchResult.TooOld
        return decode(response, StoreCodec::decodeChanges)
    }

    override suspend fun grantLease(ttlMicros: Long): Long {
        val body = StoreCodec.encodeLeaseGrant(ttlMicros)
        val response = call(leaseCalls, "POST", StoreCodec.LEASES_PATH, body, RequestPriority.CRITICAL)
        return decode(response, StoreCodec::decodeLease)
    }

    override suspend fun renewLease(lease: Long): Boolean {
        val response = call(leaseCalls, "POST", StoreCodec.leaseRenewalPath(lease), StoreCodec.encodeEmpty(), RequestPriority.CRITICAL)
        if (response.status == HttpStatus.NOT_FOUND) return false
        if (response.status != HttpStatus.OK) throwErrorStatus(response)
        return true
    }

    override suspend fun revokeLease(lease: Long) {
        val response = call(leaseCalls, "DELETE", StoreCodec.leasePath(lease), null, RequestPriority.CRITICAL)
        if (response.status != HttpStatus.OK && response.status != HttpStatus.NOT_FOUND) throwErrorStatus(response)
    }

    /** Sends a request as soon as the rate limit allows; fails if no response arrives or if the store refuses the call. */
    private suspend fun call(
        client: HttpClient,
        method: String,
        path: String,
        body: ByteArray?,
        priority: RequestPriority,
        timeoutMicros: Long = CALL_TIMEOUT_MICROS,
    ): HttpClientResponse {
        rateLimiter.awaitRequest(priority)
        val response = try {
            client.call(method, path, body, timeoutMicros)
        } catch (e: NoResponseException) {
            throw StoreException.NoResponse(e.message ?: "no response from the key-value store")
        }
        if (response.status == HttpStatus.TOO_MANY_REQUESTS) rateLimiter.onRefused(isCommit = path == StoreCodec.COMMIT_PATH)
        if (response.status == HttpStatus.SERVICE_UNAVAILABLE || response.status == HttpStatus.TOO_MANY_REQUESTS) throwErrorStatus(response)
        return response
    }

    private fun throwErrorStatus(response: HttpClientResponse): Nothing = throw StoreException.ErrorStatus(response.status)

    private inline fun <T> decode(response: HttpClientResponse, decodeBody: (Fields) -> T): T {
        if (response.status != HttpStatus.OK) throwErrorStatus(response)
        return try {
            decodeBody(response.fields())
        } catch (e: MalformedException) {
            throw StoreException.MalformedResponse(e)
        }
    }

    private companion object {
        const val MAX_CALL_CONNECTIONS = 6
        const val MAX_WATCH_CONNECTIONS = 3
        const val MAX_RESPONSE_BYTES = 4 * 1024 * 1024
        const val CALL_TIMEOUT_MICROS = 2 * SECOND_MICROS

        /** How much longer than the wait of a watch its response may take. */
        const val WATCH_RESPONSE_MARGIN_MICROS = 5 * SECOND_MICROS
    }
}

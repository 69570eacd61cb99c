package linemast.store

import kotlinx.coroutines.delay
import linemast.serialization.Cbor
import linemast.serialization.Fields
import linemast.serialization.MalformedException
import linemast.settings.StateLimits
import linemast.time.Clock
import linemast.time.SECOND_MICROS
import linemast.transport.Address
import linemast.transport.EventLoop
import linemast.transport.HttpClient
import linemast.transport.HttpReply
import linemast.transport.HttpStatus
import linemast.transport.NoAnswerException
import org.slf4j.LoggerFactory

/** The state service over HTTP, within this controller's part of the service's limits. */
class KeyValueStoreClient(loop: EventLoop, address: Address, limits: StateLimits, controllers: Int, private val clock: Clock) :
    KeyValueStore {
    private val log = LoggerFactory.getLogger(KeyValueStoreClient::class.java)
    private val calls = HttpClient(loop, address, MAX_CALLS, MAX_REPLY_BYTES)
    private val renewals = HttpClient(loop, address, 1)
    private val watches = HttpClient(loop, address, MAX_WATCHES, MAX_REPLY_BYTES)
    private val rates = StoreRateLimits(limits, controllers)
    private val requests = TokenBucket(rates.requestsPerSecond)
    private val changes = TokenBucket(rates.writesPerSecond)

    /** The leader writes more than the others; while two take themselves for it, the service may refuse a call. */
    fun setLeader(isLeader: Boolean) {
        rates.isLeader = isLeader
        changes.ratePerSecond = rates.writesPerSecond
    }

    private fun refusedForRate(isCommit: Boolean) {
        if (!rates.tightenAfterRefusal(isCommit)) return
        log.info("the state service refuses calls for their rate: from now on within its next limits")
        requests.ratePerSecond = rates.requestsPerSecond
        changes.ratePerSecond = rates.writesPerSecond
    }

    override suspend fun get(key: String, priority: RequestPriority): Entry? {
        val reply = call(calls, "GET", "/keys/$key", null, priority)
        if (reply.status == HttpStatus.NOT_FOUND) return null
        return read(reply) { Entry(it.text("k"), it.child("v"), it.long("stamp")) }
    }

    override suspend fun list(prefix: String, after: String?): EntryPage {
        val from = if (after == null) "" else "&after=$after"
        val reply = call(calls, "GET", "/keys?under=$prefix$from&limit=$PAGE_ITEMS", null, RequestPriority.NORMAL)
        return read(reply) { page ->
            val entries = page.children("pairs").map { Entry(it.text("k"), it.child("v"), it.long("stamp")) }
            EntryPage(entries, page.flagOrNull("truncated") ?: false, page.long("era"))
        }
    }

    override suspend fun commit(preconditions: List<Precondition>, writes: List<Write>, priority: RequestPriority): CommitResult {
        awaitTokens(changes, writes.size, priority)
        val body = mapOf(
            "when" to preconditions.map { mapOf("k" to it.key, "stamp" to it.revision) },
            "writes" to writes.map { write ->
                when (write) {
                    is Write.Delete -> mapOf("drop" to write.key)
                    is Write.Put -> mapOf("put" to write.key, "v" to write.value, "hold" to write.lease)
                }
            },
        )
        val reply = call(calls, "POST", COMMIT_PATH, Cbor.encode(body), priority)
        return when (reply.status) {
            HttpStatus.OK -> read(reply) { CommitResult.Applied(it.long("era")) }
            HttpStatus.CONFLICT -> CommitResult.Conflict(runCatching { reply.fields().textsOrNull("failed") }.getOrNull() ?: emptyList())
            HttpStatus.BAD_REQUEST -> if (writes.any { it is Write.Put && it.lease != null }) CommitResult.NoSuchLease else refuse(reply)
            else -> refuse(reply)
        }
    }

    override suspend fun watch(prefix: String, afterRevision: Long, waitMicros: Long): WatchResult {
        val path = "/follow?under=$prefix&after=$afterRevision&wait_ms=${waitMicros / 1_000}"
        val reply = call(watches, "GET", path, null, RequestPriority.NORMAL, waitMicros + WATCH_GRACE_MICROS)
        if (reply.status == HttpStatus.GONE) return WatchResult.TooOld
        return read(reply) { changes ->
            WatchResult.Changes(
                changes.long("era"),
                changes.children("news").map { change ->
                    val dropped = change.textOrNull("drop")
                    if (dropped != null) {
                        KeyChange(dropped, null, change.long("stamp"))
                    } else {
                        KeyChange(change.text("put"), change.child("v"), change.long("stamp"))
                    }
                },
            )
        }
    }

    override suspend fun grantLease(ttlMicros: Long): Long {
        val body = Cbor.encode(mapOf("life_ms" to ttlMicros / 1_000))
        return read(call(renewals, "POST", "/holds", body, RequestPriority.CRITICAL)) { it.long("hold") }
    }

    override suspend fun renewLease(lease: Long): Boolean {
        val reply = call(renewals, "POST", "/holds/$lease/renew", Cbor.encode(emptyMap<String, Any?>()), RequestPriority.CRITICAL)
        if (reply.status == HttpStatus.NOT_FOUND) return false
        if (reply.status != HttpStatus.OK) refuse(reply)
        return true
    }

    override suspend fun revokeLease(lease: Long) {
        val reply = call(renewals, "DELETE", "/holds/$lease", null, RequestPriority.CRITICAL)
        if (reply.status != HttpStatus.OK && reply.status != HttpStatus.NOT_FOUND) refuse(reply)
    }

    private suspend fun call(
        client: HttpClient,
        method: String,
        path: String,
        body: ByteArray?,
        priority: RequestPriority,
        timeoutMicros: Long = CALL_TIMEOUT_MICROS,
    ): HttpReply {
        awaitTokens(requests, 1, priority)
        val reply = try {
            client.call(method, path, body, timeoutMicros)
        } catch (e: NoAnswerException) {
            throw StoreException.NoAnswer(e.message ?: "no answer")
        }
        if (reply.status == HttpStatus.TOO_MANY_REQUESTS) refusedForRate(isCommit = path == COMMIT_PATH)
        if (reply.status == HttpStatus.SERVICE_UNAVAILABLE || reply.status == HttpStatus.TOO_MANY_REQUESTS) refuse(reply)
        return reply
    }

    private suspend fun awaitTokens(bucket: TokenBucket, count: Int, priority: RequestPriority) {
        val deadline = clock.nowMicros() + priority.queueTimeoutMicros
        while (!bucket.tryTake(count, priority, clock.nowMicros())) {
            val wait = bucket.waitMicros(count, priority, clock.nowMicros())
            if (clock.nowMicros() + wait > deadline) throw StoreException.RateLimited()
            delay(wait / 1_000 + 1)
        }
    }

    private fun refuse(reply: HttpReply): Nothing = throw StoreException.Refused(reply.status)

    private inline fun <T> read(reply: HttpReply, decode: (Fields) -> T): T {
        if (reply.status != HttpStatus.OK) refuse(reply)
        return try {
            decode(reply.fields())
        } catch (e: MalformedException) {
            throw StoreException.MalformedAnswer(e)
        }
    }

    private companion object {
        const val MAX_CALLS = 6
        const val MAX_WATCHES = 3
        const val PAGE_ITEMS = 500
        const val MAX_REPLY_BYTES = 4 * 1024 * 1024
        const val COMMIT_PATH = "/commit"
        const val CALL_TIMEOUT_MICROS = 2 * SECOND_MICROS
        const val WATCH_GRACE_MICROS = 5 * SECOND_MICROS
    }
}

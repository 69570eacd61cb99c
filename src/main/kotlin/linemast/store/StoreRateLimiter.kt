package linemast.store

import kotlinx.coroutines.delay
import linemast.settings.StoreLimits
import linemast.time.Clock
import linemast.time.MICROS_PER_MILLI
import org.slf4j.LoggerFactory

/**
 * Delays calls to the key-value store so that this controller stays within its share of the store's rate limits.
 *
 * A call that would have to wait longer than the queue timeout of its priority fails with [StoreException.RateLimited].
 */
internal class StoreRateLimiter(limits: StoreLimits, controllerCount: Int, private val clock: Clock) {
    private val log = LoggerFactory.getLogger(StoreRateLimiter::class.java)
    private val rates = StoreRateLimits(limits, controllerCount)
    private val requests = TokenBucket(rates.requestsPerSecond)
    private val writes = TokenBucket(rates.writesPerSecond)

    /**
     * Sets whether this controller is the leader, whose share of the writes is larger.
     *
     * While two controllers act as leader, the sum of all shares may exceed the limit, and the store may refuse calls.
     */
    fun setLeader(isLeader: Boolean) {
        rates.isLeader = isLeader
        writes.ratePerSecond = rates.writesPerSecond
    }

    /** Waits for the token of one request. */
    suspend fun awaitRequest(priority: RequestPriority) = await(requests, 1, priority)

    /** Waits for the tokens of the [count] writes of a transaction. */
    suspend fun awaitWrites(count: Int, priority: RequestPriority) = await(writes, count, priority)

    /** Lowers the rates after the store has refused a call for its rate although this controller was within its share. */
    fun onRefused(isCommit: Boolean) {
        if (!rates.tightenAfterRefusal(isCommit)) return
        log.info("the key-value store refused a call for its rate: a limit under 'next' in the settings applies from now on")
        requests.ratePerSecond = rates.requestsPerSecond
        writes.ratePerSecond = rates.writesPerSecond
    }

    private suspend fun await(bucket: TokenBucket, count: Int, priority: RequestPriority) {
        val deadlineMicros = clock.nowMicros() + priority.queueTimeoutMicros
        while (!bucket.tryTake(count, priority, clock.nowMicros())) {
            val waitMicros = bucket.waitMicros(count, priority, clock.nowMicros())
            if (clock.nowMicros() + waitMicros > deadlineMicros) throw StoreException.RateLimited()
            delay(waitMicros / MICROS_PER_MILLI + 1)
        }
    }
}

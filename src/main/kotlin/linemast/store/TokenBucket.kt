package linemast.store

import linemast.time.SECOND_MICROS

/**
 * A token bucket that limits the calls to a service which refuses calls above a rate.
 *
 * The bucket is full at first and holds at most the tokens of one second. A call does not use the share of the tokens that is
 * reserved for calls of higher priority.
 */
class TokenBucket(ratePerSecond: Double) {
    /** Number of tokens that are added per second, and also the capacity of the bucket; a lower rate discards excess tokens. */
    var ratePerSecond = ratePerSecond
        set(value) {
            field = value
            tokens = minOf(tokens, value)
        }
    private var tokens = ratePerSecond
    private var lastRefillMicros: Long? = null

    /** Takes [count] tokens if a call of [priority] may use them now; returns whether the tokens were taken. */
    fun tryTake(count: Int, priority: RequestPriority, nowMicros: Long): Boolean {
        refill(nowMicros)
        // A call that needs more tokens than the bucket can hold is allowed when the bucket is full.
        if (tokens - count < reservedTokens(priority) && tokens < ratePerSecond) return false
        tokens -= count
        return true
    }

    /** Returns how long it takes until [count] tokens can be taken if no other call takes any. */
    fun waitMicros(count: Int, priority: RequestPriority, nowMicros: Long): Long {
        refill(nowMicros)
        val required = minOf(count + reservedTokens(priority), ratePerSecond)
        return if (tokens >= required) 0 else ((required - tokens) / ratePerSecond * SECOND_MICROS).toLong() + 1
    }

    private fun reservedTokens(priority: RequestPriority) = ratePerSecond * priority.reservedShare

    private fun refill(nowMicros: Long) {
        lastRefillMicros?.let { last ->
            val elapsedMicros = (nowMicros - last).coerceAtLeast(0)
            tokens = minOf(ratePerSecond, tokens + elapsedMicros * ratePerSecond / SECOND_MICROS)
        }
        lastRefillMicros = nowMicros
    }
}

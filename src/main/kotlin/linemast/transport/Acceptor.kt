package linemast.transport

import kotlinx.coroutines.delay
import linemast.time.Clock
import linemast.time.MICROS_PER_MILLI
import linemast.time.SECOND_MICROS
import org.slf4j.Logger
import java.io.IOException
import java.nio.channels.ClosedChannelException

/**
 * Accepts connections with [acceptOnce] and repeats an attempt that fails, for example because the process has no free file
 * descriptor: the failure ends neither the process nor the open connections, and new connections wait meanwhile.
 *
 * @property address where the connections arrive, for the log.
 */
internal class Acceptor<T>(
    private val address: Address,
    private val clock: Clock,
    private val log: Logger,
    private val acceptOnce: suspend () -> T,
) {
    private var failingSinceMicros: Long? = null
    private var lastFailureMicros = 0L

    /** Returns the next connection. Throws a [ClosedChannelException] if the listening socket is closed. */
    suspend fun accept(): T {
        while (true) {
            try {
                return acceptOnce().also { recordSuccess() }
            } catch (e: ClosedChannelException) {
                throw e
            } catch (e: IOException) {
                recordFailure(e)
            }
            delay(RETRY_DELAY_MILLIS)
        }
    }

    private fun recordFailure(failure: IOException) {
        lastFailureMicros = clock.nowMicros()
        if (failingSinceMicros != null) return
        failingSinceMicros = lastFailureMicros
        log.error("{}: accepting connections fails and is repeated: {}", address, failure.message)
    }

    /** Near the limit, attempts succeed and fail in turn: these are one failure, which is logged once. */
    private fun recordSuccess() {
        val sinceMicros = failingSinceMicros ?: return
        val nowMicros = clock.nowMicros()
        if (nowMicros - lastFailureMicros < RECOVERY_MICROS) return
        failingSinceMicros = null
        log.info("{}: accepting connections again, {} ms after the first failure", address, (nowMicros - sinceMicros) / MICROS_PER_MILLI)
    }

    private companion object {
        const val RETRY_DELAY_MILLIS = 100L
        const val RECOVERY_MICROS = 5 * SECOND_MICROS
    }
}

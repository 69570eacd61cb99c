package linemast.app

import com.sun.management.OperatingSystemMXBean
import kotlinx.coroutines.delay
import linemast.time.Clock
import linemast.time.SECOND_MICROS
import linemast.transport.HttpRequest
import linemast.transport.HttpResponse
import org.HdrHistogram.Histogram
import org.slf4j.LoggerFactory
import java.lang.management.ManagementFactory

/**
 * Records the latency of requests, the duration of event loop iterations and the processor usage, and logs them once a minute at
 * level `debug`.
 *
 * At other levels no instance is created, so that metrics add no cost to requests.
 */
class Metrics(private val clock: Clock) {
    private val log = LoggerFactory.getLogger(Metrics::class.java)
    private val latencies = sortedMapOf<String, Histogram>()
    private var lastProcessorMicros = processorMicrosNow()
    private var lastLoggedMicros = clock.nowMicros()

    /** Returns a handler that passes requests on to [handler] and records their latency. */
    fun measureLatency(handler: suspend (HttpRequest) -> HttpResponse): suspend (HttpRequest) -> HttpResponse = { request ->
        val start = clock.nowMicros()
        handler(request).also { record(requestKind(request), clock.nowMicros() - start) }
    }

    /** Records that an iteration of the event loop ran coroutines for [micros]. */
    fun recordIteration(micros: Long) = record("turn", micros)

    private fun record(kind: String, micros: Long) {
        latencies.getOrPut(kind) { Histogram(MAX_MICROS, SIGNIFICANT_DIGITS) }.recordValue(micros.coerceIn(0, MAX_MICROS))
    }

    private fun requestKind(request: HttpRequest): String = when {
        request.path == "/v1/jobs" -> "submit"
        request.path.endsWith("/cancel") -> "cancel"
        request.path.startsWith("/v1/jobs/") -> "status"
        request.path == "/agent/beat" -> "heartbeat"
        else -> "other"
    }

    /** Logs and resets the metrics once a minute, until it is cancelled. */
    suspend fun run() {
        while (true) {
            delay(PERIOD_MILLIS)
            logLatencies()
            logProcessorUsage()
        }
    }

    private fun logLatencies() {
        for ((kind, histogram) in latencies) {
            log.debug(
                "{}: {} times, p50/p90/p99/max {}/{}/{}/{} us",
                kind,
                histogram.totalCount,
                histogram.getValueAtPercentile(MEDIAN),
                histogram.getValueAtPercentile(P90),
                histogram.getValueAtPercentile(P99),
                histogram.maxValue,
            )
        }
        latencies.clear()
    }

    private fun logProcessorUsage() {
        val processorMicros = processorMicrosNow()
        val nowMicros = clock.nowMicros()
        val usage = (processorMicros - lastProcessorMicros).toDouble() / (nowMicros - lastLoggedMicros)
        log.debug("processor: {} of a core", "%.4f".format(usage))
        lastProcessorMicros = processorMicros
        lastLoggedMicros = nowMicros
    }

    /** Returns the processor time that this process has used so far; 0 if the platform does not report it. */
    private fun processorMicrosNow(): Long =
        (ManagementFactory.getOperatingSystemMXBean() as? OperatingSystemMXBean)?.let { it.processCpuTime / NANOS_PER_MICRO } ?: 0L

    private companion object {
        const val SIGNIFICANT_DIGITS = 2
        const val MEDIAN = 50.0
        const val P90 = 90.0
        const val P99 = 99.0
        const val NANOS_PER_MICRO = 1_000L
        const val PERIOD_MILLIS = 60_000L
        const val MAX_MICROS = 60 * SECOND_MICROS
    }
}

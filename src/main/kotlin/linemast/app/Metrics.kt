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

/** Latency of requests, turns of the event loop and use of the processor, summed up in the log at `debug`; not built at other levels. */
class Metrics(private val clock: Clock) {
    private val log = LoggerFactory.getLogger(Metrics::class.java)
    private val latencies = sortedMapOf<String, Histogram>()
    private var cpuMicros = cpuNow()
    private var sinceMicros = clock.nowMicros()

    /** [handler], measured. */
    fun around(handler: suspend (HttpRequest) -> HttpResponse): suspend (HttpRequest) -> HttpResponse = { request ->
        val start = clock.nowMicros()
        handler(request).also { record(kind(request), clock.nowMicros() - start) }
    }

    /** A turn of the event loop took [micros]. */
    fun turn(micros: Long) = record("turn", micros)

    private fun record(kind: String, micros: Long) {
        latencies.getOrPut(kind) { Histogram(MAX_MICROS, 2) }.recordValue(micros.coerceIn(0, MAX_MICROS))
    }

    private fun kind(request: HttpRequest): String = when {
        request.path == "/v1/jobs" -> "submit"
        request.path.endsWith("/cancel") -> "cancel"
        request.path.startsWith("/v1/jobs/") -> "poll"
        request.path == "/agent/beat" -> "report"
        else -> "other"
    }

    /** Logs and resets the figures once a minute. */
    suspend fun run() {
        while (true) {
            delay(PERIOD_MILLIS)
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
            val cpu = cpuNow()
            val now = clock.nowMicros()
            log.debug("processor: {} of a core", "%.4f".format((cpu - cpuMicros).toDouble() / (now - sinceMicros)))
            cpuMicros = cpu
            sinceMicros = now
        }
    }

    private fun cpuNow(): Long =
        (ManagementFactory.getOperatingSystemMXBean() as? OperatingSystemMXBean)?.let { it.processCpuTime / 1_000 } ?: 0L

    private companion object {
        const val MEDIAN = 50.0
        const val P90 = 90.0
        const val P99 = 99.0
        const val PERIOD_MILLIS = 60_000L
        const val MAX_MICROS = 60 * SECOND_MICROS
    }
}

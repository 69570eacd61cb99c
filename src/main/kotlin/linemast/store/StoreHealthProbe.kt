package linemast.store

import kotlinx.coroutines.delay
import linemast.time.Clock
import linemast.time.MICROS_PER_MILLI
import linemast.time.SECOND_MICROS

/**
 * Checks once a second whether a read of the key-value store succeeds on this controller.
 *
 * Open watches do not show a failure: if the store refuses only the calls of this controller, its watches merely go on waiting.
 */
class StoreHealthProbe(private val store: KeyValueStore, private val clock: Clock) {
    private var failingSinceMicros: Long? = null

    /** Whether the latest read succeeded; true before the first read. */
    val isHealthy: Boolean get() = failingSinceMicros == null

    /** Returns for how long all reads have failed; 0 if the latest read succeeded. */
    fun failingForMicros(nowMicros: Long): Long = failingSinceMicros?.let { nowMicros - it } ?: 0L

    /** Reads [key] once a second until the coroutine is cancelled. */
    suspend fun run(key: String) {
        while (true) {
            failingSinceMicros = if (readSucceeds(key)) null else failingSinceMicros ?: clock.nowMicros()
            delay(PROBE_PERIOD_MILLIS)
        }
    }

    private suspend fun readSucceeds(key: String): Boolean = try {
        store.get(key)
        true
    } catch (e: StoreException) {
        false
    }

    private companion object {
        const val PROBE_PERIOD_MILLIS = SECOND_MICROS / MICROS_PER_MILLI
    }
}

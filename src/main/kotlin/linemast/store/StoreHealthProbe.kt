package linemast.store

import kotlinx.coroutines.delay
import linemast.time.Clock
import linemast.time.MICROS_PER_MILLI
import linemast.time.SECOND_MICROS

/**
 * Whether the key-value store answers this controller, by a read once a second.
 *
 * The store may refuse one controller alone, whose open watches then merely wait: they do not tell.
 */
class StoreHealthProbe(private val store: KeyValueStore, private val clock: Clock) {
    private var failingSinceMicros: Long? = null

    /** Whether the latest read was answered; true before the first. */
    val isHealthy: Boolean get() = failingSinceMicros == null

    /** For how long the store has not answered; 0 if it does. */
    fun failingForMicros(nowMicros: Long): Long = failingSinceMicros?.let { nowMicros - it } ?: 0L

    /** Reads [key] once a second until the coroutine is cancelled. */
    suspend fun run(key: String) {
        while (true) {
            failingSinceMicros = if (responds(key)) null else failingSinceMicros ?: clock.nowMicros()
            delay(PROBE_PERIOD_MILLIS)
        }
    }

    private suspend fun responds(key: String): Boolean = try {
        store.get(key)
        true
    } catch (e: StoreException) {
        false
    }

    private companion object {
        const val PROBE_PERIOD_MILLIS = SECOND_MICROS / MICROS_PER_MILLI
    }
}

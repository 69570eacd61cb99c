package linemast.store

import kotlinx.coroutines.delay
import linemast.time.Clock
import linemast.time.SECOND_MICROS

/**
 * Whether the state service answers this controller.
 *
 * It may refuse one controller alone, whose open watches then just wait; so it is asked once a second.
 */
class StoreHealthProbe(private val store: KeyValueStore, private val clock: Clock) {
    private var failingSinceMicros: Long? = null

    val isHealthy: Boolean get() = failingSinceMicros == null

    /** For how long the store has not answered; 0 if it does. */
    fun failingForMicros(nowMicros: Long): Long = failingSinceMicros?.let { nowMicros - it } ?: 0L

    /** Asks for [key] again and again until it is cancelled. */
    suspend fun run(key: String) {
        while (true) {
            failingSinceMicros = try {
                store.get(key)
                null
            } catch (e: StoreException) {
                failingSinceMicros ?: clock.nowMicros()
            }
            delay(SECOND_MICROS / 1_000)
        }
    }
}

package linemast.duties

import kotlinx.coroutines.delay
import linemast.store.storeResultOrNull
import org.slf4j.LoggerFactory

/**
 * Decides what is left of a transaction that found a slot changed.
 *
 * Most likely an earlier copy of the same transaction was carried out and its answer got lost.
 */
internal class IntentConflictResolver(private val slots: IntentSlots, private val retryMillis: Long) {
    private val logger = LoggerFactory.getLogger(IntentConflictResolver::class.java)

    /** The part of [writes] that still has to be written, in its order and with free slots; all of it if the store does not answer. */
    suspend fun remaining(writes: List<IntentWrite>): List<IntentWrite> {
        if (storeResultOrNull(logger) { slots.load() } == null) {
            delay(retryMillis)
            return writes
        }
        return writes.mapNotNull(::remaining)
    }

    private fun remaining(write: IntentWrite): IntentWrite? {
        val found = slots.log[write.slot]
        if (found?.intent == write.intent) {
            slots.committed(write, found.revision)
            return null
        }
        return when (write) {
            is IntentWrite.Open -> inFreeSlot(write)
            // If the slot holds another intent, this one was closed long ago.
            is IntentWrite.Close -> write.takeIf { found?.intent?.id == write.intent.id }
        }
    }

    /** The same write with a slot that is free; null if there is none, which fails the write. */
    private fun inFreeSlot(write: IntentWrite.Open): IntentWrite? {
        slots.release(write.slot)
        val slot = slots.reserve()
        if (slot == null) {
            write.committed.completeExceptionally(IntentLogFullException())
            return null
        }
        return IntentWrite.Open(write.intent, slot, write.committed)
    }
}

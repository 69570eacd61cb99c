package linemast.duties

import kotlinx.coroutines.delay
import linemast.store.storeResultOrNull
import org.slf4j.LoggerFactory

/**
 * Decides what is left of a transaction that found a slot changed.
 *
 * Most likely an earlier copy of the same transaction was carried out and its answer got lost.
 */
internal class IntentConflictResolver(private val slots: IntentSlots, private val retryIntervalMillis: Long) {
    private val logger = LoggerFactory.getLogger(IntentConflictResolver::class.java)

    /** The part of [writes] that still has to be written, in its order and with free slots; all of it if the store does not answer. */
    suspend fun resolve(writes: List<IntentWrite>): List<IntentWrite> {
        if (storeResultOrNull(logger) { slots.load() } == null) {
            delay(retryIntervalMillis)
            return writes
        }
        return writes.mapNotNull(::resolve)
    }

    private fun resolve(write: IntentWrite): IntentWrite? {
        val found = slots.log[write.slot]
        if (found?.intent == write.intent) {
            slots.recordCommit(write, found.revision)
            return null
        }
        return when (write) {
            is IntentWrite.Open -> moveToFreeSlot(write)
            // If the slot holds another intent, this one was closed long ago.
            is IntentWrite.Close -> write.takeIf { found?.intent?.id == write.intent.id }
        }
    }

    /** The same write with a slot that is free; null if there is none, which fails the write. */
    private fun moveToFreeSlot(write: IntentWrite.Open): IntentWrite? {
        slots.release(write.slot)
        val slot = slots.reserve()
        if (slot == null) {
            write.committed.completeExceptionally(IntentLogFullException())
            return null
        }
        return IntentWrite.Open(write.intent, slot, write.committed)
    }
}

package linemast.duties

import kotlinx.coroutines.delay
import linemast.store.storeResultOrNull
import org.slf4j.LoggerFactory

/**
 * Determines which writes of a transaction are still to be done after it failed because a slot had changed.
 *
 * The most likely cause is that an earlier copy of the same transaction was applied and its response was lost.
 */
internal class IntentConflictResolver(private val slots: IntentSlots, private val retryIntervalMillis: Long) {
    private val logger = LoggerFactory.getLogger(IntentConflictResolver::class.java)

    /**
     * Returns those of [writes] that are still to be done, in order and with free slots. If the store does not respond, returns all
     * of them after the retry interval.
     */
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
            // If the slot holds another intent, the intent of this write was closed earlier and then overwritten.
            is IntentWrite.Close -> write.takeIf { found?.intent?.id == write.intent.id }
        }
    }

    /** Returns the same write for a free slot; if there is none, fails the write and returns null. */
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

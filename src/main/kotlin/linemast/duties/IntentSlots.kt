package linemast.duties

import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.listAll
import org.slf4j.LoggerFactory

/** The slots of the intent log as this leader last read or wrote them, with a reservation for each write in progress. */
internal class IntentSlots(private val store: KeyValueStore, slotCount: Int) {
    private val logger = LoggerFactory.getLogger(IntentSlots::class.java)

    /** The log as of the latest read or confirmed write. */
    var log = IntentLog.empty(slotCount)
        private set

    /** Reads all slots; throws a `StoreException` if the store does not respond. */
    suspend fun load() {
        log = log.reload(store.listAll(IntentCodec.PREFIX).entries)
        if (log.unreadable.isNotEmpty()) logger.error("slots {} hold malformed records and are not used", log.unreadable)
    }

    /** Reserves and returns a slot for a new intent; returns null if none is free. */
    fun reserve(): Int? {
        val slot = log.findFreeSlot() ?: return null
        log = log.reserve(slot)
        return slot
    }

    /** Releases the reservation of [slot]. */
    fun release(slot: Int) {
        log = log.release(slot)
    }

    /** Returns the precondition that the content of [slot] has not changed since it was last read or written. */
    fun unchangedPrecondition(slot: Int) = Precondition(IntentCodec.key(slot), log.revisionOf(slot))

    /** Records that the store has applied [write] at [revision], and resumes the coroutine that waits for the write. */
    fun recordCommit(write: IntentWrite, revision: Long) {
        val stored = StoredIntent(write.slot, write.intent, revision)
        log = log.put(stored)
        if (write is IntentWrite.Open) write.committed.complete(stored)
    }
}

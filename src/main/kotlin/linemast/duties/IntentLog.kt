package linemast.duties

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentMapOf
import linemast.serialization.MalformedException
import linemast.store.Entry

/** An [intent] with the number of the [slot] that holds it, and the [revision] at which the store holds that slot. */
data class StoredIntent(val slot: Int, val intent: Intent, val revision: Long)

/**
 * The intents in the store's slots, as this controller last read or wrote them. Immutable: each change returns a new log.
 *
 * A slot is free while it is empty, and again once its intent is closed. The oldest closed intent is overwritten first, so that
 * the slots hold the latest actions for operators to read. A slot with unreadable content is never used.
 */
class IntentLog private constructor(
    private val slotCount: Int,
    private val stored: PersistentMap<Int, StoredIntent>,
    /** Slots that a write in progress is about to overwrite. */
    private val reserved: PersistentSet<Int>,
    /** Slots whose content cannot be decoded as an intent. */
    val unreadable: PersistentSet<Int>,
) {
    /** All intents, ordered by id. */
    val intents: List<StoredIntent> get() = stored.values.sortedBy { it.intent.id }

    /** Open intents, ordered by id. */
    val openIntents: List<StoredIntent> get() = intents.filter { !it.intent.state.isTerminal }

    /** Returns the intent in [slot]; null if the slot is empty. */
    operator fun get(slot: Int): StoredIntent? = stored[slot]

    /** Returns the revision that a write of [slot] has as its precondition. */
    fun revisionOf(slot: Int): Long = stored[slot]?.revision ?: ABSENT_REVISION

    /** Returns a free slot for a new intent; null if there is none. */
    fun findFreeSlot(): Int? {
        val usable = (0 until slotCount).filter { it !in reserved && it !in unreadable }
        val empty = usable.firstOrNull { it !in stored }
        return empty ?: usable.filter { stored.getValue(it).intent.state.isTerminal }.minByOrNull { stored.getValue(it).intent.id }
    }

    /** Returns this log with [slot] reserved for a write. */
    fun reserve(slot: Int): IntentLog = copy(reserved = reserved.add(slot))

    /** Returns this log without the reservation of [slot]. */
    fun release(slot: Int): IntentLog = copy(reserved = reserved.remove(slot))

    /** Returns this log with [entry] as the content of its slot in the store, and without the reservation of the slot. */
    fun put(entry: StoredIntent): IntentLog = copy(stored = stored.put(entry.slot, entry), reserved = reserved.remove(entry.slot))

    /** Returns a log with the intents of the store's [entries] in place of all others; reservations stay. */
    fun reload(entries: List<Entry>): IntentLog {
        var read = persistentMapOf<Int, StoredIntent>()
        var unreadable = persistentHashSetOf<Int>()
        for (entry in entries) {
            val slot = IntentCodec.slot(entry.key) ?: continue
            try {
                read = read.put(slot, StoredIntent(slot, IntentCodec.decode(entry.value), entry.revision))
            } catch (e: MalformedException) {
                unreadable = unreadable.add(slot)
            }
        }
        return IntentLog(slotCount, read, reserved, unreadable)
    }

    private fun copy(stored: PersistentMap<Int, StoredIntent> = this.stored, reserved: PersistentSet<Int> = this.reserved) =
        IntentLog(slotCount, stored, reserved, unreadable)

    /** Creates logs. */
    companion object {
        /** The revision that denotes an absent key, here an empty slot, in preconditions. */
        private const val ABSENT_REVISION = 0L

        /** Returns a log of [slotCount] empty slots. */
        fun empty(slotCount: Int) = IntentLog(slotCount, persistentMapOf(), persistentHashSetOf(), persistentHashSetOf())
    }
}

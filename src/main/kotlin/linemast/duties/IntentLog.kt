package linemast.duties

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentMapOf
import linemast.serialization.MalformedException
import linemast.store.Entry

/** An intent as the store holds it in a slot. */
data class StoredIntent(val slot: Int, val intent: Intent, val revision: Long)

/**
 * The intents in the store's slots, as this controller knows them; pure, and immutable: each change gives a new log.
 *
 * A slot is free while it is empty, and again once its intent has ended; the one that ended longest ago is used first, so
 * that the slots hold the latest actions, for operators to read. A slot whose content cannot be read is left alone.
 */
class IntentLog private constructor(
    private val slotCount: Int,
    private val stored: PersistentMap<Int, StoredIntent>,
    /** Slots that a write under way is about to fill. */
    private val reserved: PersistentSet<Int>,
    /** Slots that hold something else. */
    val unreadable: PersistentSet<Int>,
) {
    /** All intents by their id. */
    val intents: List<StoredIntent> get() = stored.values.sortedBy { it.intent.id }

    /** Intents that have not ended, by their id. */
    val open: List<StoredIntent> get() = intents.filter { !it.intent.state.isTerminal }

    /** What [slot] holds; null if it is empty. */
    operator fun get(slot: Int): StoredIntent? = stored[slot]

    /** The version that a write of [slot] has to build on. */
    fun revisionOf(slot: Int): Long = stored[slot]?.revision ?: 0L

    /** A slot for a new intent; null while none is free. */
    fun freeSlot(): Int? {
        val usable = (0 until slotCount).filter { it !in reserved && it !in unreadable }
        val empty = usable.firstOrNull { it !in stored }
        return empty ?: usable.filter { stored.getValue(it).intent.state.isTerminal }.minByOrNull { stored.getValue(it).intent.id }
    }

    /** Keeps [slot] for a write under way. */
    fun reserve(slot: Int): IntentLog = copy(reserved = reserved.add(slot))

    /** A write of [slot] will not be made after all. */
    fun release(slot: Int): IntentLog = copy(reserved = reserved.remove(slot))

    /** The store holds [entry]. */
    fun put(entry: StoredIntent): IntentLog = copy(stored = stored.put(entry.slot, entry), reserved = reserved.remove(entry.slot))

    /** Takes the store's [entries] in place of all it knew; what is reserved stays so. */
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

    companion object {
        /** A log without any intent. */
        fun empty(slotCount: Int) = IntentLog(slotCount, persistentMapOf(), persistentHashSetOf(), persistentHashSetOf())
    }
}

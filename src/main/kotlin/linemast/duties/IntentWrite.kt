package linemast.duties

import kotlinx.coroutines.CompletableDeferred
import linemast.store.Write

/** An intent that is queued for a write to its slot. */
internal sealed interface IntentWrite {
    /** The intent as the slot will hold it. */
    val intent: Intent

    /** The slot to be overwritten; no other write of the same slot may be queued. */
    val slot: Int

    /** Converts this to a write of the key-value store. */
    fun toStoreWrite(): Write = Write.Put(IntentCodec.key(slot), IntentCodec.encode(intent))

    /** A new intent; [committed] completes once the store holds the intent. */
    class Open(override val intent: Intent, override val slot: Int, val committed: CompletableDeferred<StoredIntent>) : IntentWrite

    /** An intent that has reached its final state. No coroutine waits for this write. */
    class Close(override val intent: Intent, override val slot: Int) : IntentWrite
}

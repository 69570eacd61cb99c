package linemast.duties

import kotlinx.coroutines.CompletableDeferred
import linemast.store.Write

/** An intent that waits to be written to its slot. */
internal sealed interface IntentWrite {
    /** The intent as the slot will hold it. */
    val intent: Intent

    /** The slot to be overwritten; no other write of it may be waiting. */
    val slot: Int

    /** The write in the store's terms. */
    fun toStoreWrite(): Write = Write.Put(IntentCodec.key(slot), IntentCodec.encode(intent))

    /** A new intent; [committed] completes once the store holds it. */
    class Open(override val intent: Intent, override val slot: Int, val committed: CompletableDeferred<StoredIntent>) : IntentWrite

    /** An intent that has reached its final state. Nobody waits for this one. */
    class Close(override val intent: Intent, override val slot: Int) : IntentWrite
}

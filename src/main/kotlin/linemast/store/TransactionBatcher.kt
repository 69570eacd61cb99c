package linemast.store

import linemast.serialization.Cbor

/** Packs writes into transactions within what the state service takes in one. */
class TransactionBatcher(private val maxWrites: Int) {
    /** [writes] in their order, in as few transactions as their number and size allow. */
    fun <T> pack(writes: List<T>, writeOf: (T) -> Write): List<List<T>> {
        val batches = ArrayList<ArrayList<T>>()
        var bytes = 0
        for (write in writes) {
            val size = sizeOf(writeOf(write))
            if (batches.isEmpty() || batches.last().size >= maxWrites || bytes + size > MAX_TRANSACTION_BYTES) {
                batches += ArrayList<T>()
                bytes = 0
            }
            batches.last() += write
            bytes += size
        }
        return batches
    }

    private fun sizeOf(write: Write): Int = when (write) {
        is Write.Put -> Cbor.jsonSize(write.value) + FRAME_BYTES + write.key.length
        is Write.Delete -> write.key.length
    }

    private companion object {
        /** The store takes 64 KiB in a transaction; the rest is for its conditions and what is around the values. */
        const val MAX_TRANSACTION_BYTES = 48 * 1024
        const val FRAME_BYTES = 11
    }
}

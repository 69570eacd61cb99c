package linemast.store

import linemast.serialization.JsonSize

/**
 * Splits writes into transactions that stay within the store's limits.
 *
 * @property maxWrites maximum number of writes in a transaction.
 */
class TransactionBatcher(private val maxWrites: Int) {
    /** Splits [items], in their order, into as few transactions as the number and the size of their writes allow. */
    fun <T> pack(items: List<T>, writeOf: (T) -> Write): List<List<T>> {
        val batches = ArrayList<ArrayList<T>>()
        var batchBytes = 0
        for (item in items) {
            val bytes = bytesOf(writeOf(item))
            if (batches.isEmpty() || batches.last().size >= maxWrites || batchBytes + bytes > MAX_TRANSACTION_BYTES) {
                batches += ArrayList<T>()
                batchBytes = 0
            }
            batches.last() += item
            batchBytes += bytes
        }
        return batches
    }

    private fun bytesOf(write: Write): Int = when (write) {
        is Write.Put -> JsonSize.of(write.value) + PUT_OVERHEAD_BYTES + write.key.length
        is Write.Delete -> write.key.length
    }

    private companion object {
        /** The store accepts 64 KiB per transaction; the difference is left for preconditions and the encoding around the values. */
        const val MAX_TRANSACTION_BYTES = 48 * 1024
        const val PUT_OVERHEAD_BYTES = 11
    }
}

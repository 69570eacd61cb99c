package linemast.store

import linemast.serialization.Cbor
import linemast.serialization.Fields
import linemast.time.MICROS_PER_MILLI

/**
 * Encodes and decodes the paths and bodies of the key-value store's HTTP protocol.
 *
 * The names of the protocol are used only here: `stamp` and `era` are revisions, `hold` is a lease, `follow` is a watch, `drop`
 * is a delete. The functions that decode a body throw a MalformedException if a field is missing or has another type.
 */
internal object StoreCodec {
    const val COMMIT_PATH = "/commit"
    const val LEASES_PATH = "/holds"
    private const val PAGE_ENTRIES = 500

    fun entryPath(key: String) = "/keys/$key"

    fun listPath(prefix: String, after: String?): String {
        val from = if (after == null) "" else "&after=$after"
        return "/keys?under=$prefix$from&limit=$PAGE_ENTRIES"
    }

    fun watchPath(prefix: String, afterRevision: Long, waitMicros: Long) =
        "/follow?under=$prefix&after=$afterRevision&wait_ms=${waitMicros / MICROS_PER_MILLI}"

    fun leasePath(lease: Long) = "$LEASES_PATH/$lease"

    fun leaseRenewalPath(lease: Long) = "$LEASES_PATH/$lease/renew"

    /** Returns the body of a request without parameters. */
    fun encodeEmpty(): ByteArray = Cbor.encode(emptyMap<String, Any?>())

    fun encodeLeaseGrant(ttlMicros: Long): ByteArray = Cbor.encode(mapOf("life_ms" to ttlMicros / MICROS_PER_MILLI))

    fun encodeTransaction(preconditions: List<Precondition>, writes: List<Write>): ByteArray = Cbor.encode(
        mapOf(
            "when" to preconditions.map { mapOf("k" to it.key, "stamp" to it.revision) },
            "writes" to writes.map(::encode),
        ),
    )

    private fun encode(write: Write): Map<String, Any?> = when (write) {
        is Write.Delete -> mapOf("drop" to write.key)
        is Write.Put -> mapOf("put" to write.key, "v" to write.value, "hold" to write.lease)
    }

    fun decodeEntry(fields: Fields) = Entry(fields.text("k"), fields.child("v"), fields.long("stamp"))

    fun decodePage(fields: Fields): EntryPage {
        val entries = fields.children("pairs").map(::decodeEntry)
        return EntryPage(entries, fields.flagOrNull("truncated") ?: false, fields.long("era"))
    }

    fun decodeApplied(fields: Fields) = CommitResult.Applied(fields.long("era"))

    /** Returns the keys whose preconditions did not hold. */
    fun decodeFailedKeys(fields: Fields): List<String> = fields.textsOrNull("failed") ?: emptyList()

    fun decodeChanges(fields: Fields) = WatchResult.Changes(fields.long("era"), fields.children("news").map(::decodeChange))

    private fun decodeChange(fields: Fields): KeyChange {
        val deletedKey = fields.textOrNull("drop")
        return if (deletedKey != null) {
            KeyChange(deletedKey, null, fields.long("stamp"))
        } else {
            KeyChange(fields.text("put"), fields.child("v"), fields.long("stamp"))
        }
    }

    fun decodeLease(fields: Fields): Long = fields.long("hold")
}

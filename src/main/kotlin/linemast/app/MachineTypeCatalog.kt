package linemast.app

import linemast.cloud.Cloud
import linemast.cloud.CloudException
import linemast.cloud.MachineTypeCodec
import linemast.domain.MachineType
import linemast.store.CommitResult
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.RetryPolicy
import linemast.store.Write
import org.slf4j.LoggerFactory

/**
 * The machine types that the cloud offers.
 *
 * They are stored in the key-value store, so that a controller that starts while the cloud is unreachable can check
 * submissions.
 */
internal class MachineTypeCatalog(private val store: KeyValueStore, private val cloud: Cloud) {
    private val log = LoggerFactory.getLogger(MachineTypeCatalog::class.java)

    /** All machine types; null until [load] has read them. */
    var types: List<MachineType>? = null
        private set

    /** Reads the machine types from the store, or else from the cloud; retries until it succeeds. */
    suspend fun load() {
        val loaded = RETRY.untilResult(log, "reading the machine types") { readStored() ?: fetchAndStore() }
        types = loaded
        log.info("machine types: {}", loaded.map { it.name })
    }

    private suspend fun readStored(): List<MachineType>? = store.get(MachineTypeCodec.KEY)?.let { MachineTypeCodec.decode(it.value) }

    /** Returns null if the call to the cloud fails, or if another controller stored the machine types first. */
    private suspend fun fetchAndStore(): List<MachineType>? {
        val fetched = try {
            cloud.listMachineTypes()
        } catch (e: CloudException) {
            log.info("machine types: call to the cloud failed and is retried: {}", e.message)
            return null
        }
        val write = Write.Put(MachineTypeCodec.KEY, MachineTypeCodec.encode(fetched))
        val result = store.commit(listOf(Precondition(MachineTypeCodec.KEY, NO_REVISION)), listOf(write))
        return if (result is CommitResult.Applied) fetched else null
    }

    private companion object {
        val RETRY = RetryPolicy(delayMillis = 500)

        /** The revision of a key that does not exist. */
        const val NO_REVISION = 0L
    }
}

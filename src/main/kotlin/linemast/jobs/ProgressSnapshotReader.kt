package linemast.jobs

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import linemast.domain.JobProgress
import linemast.store.KeyValueStore
import linemast.store.storeResultOrNull
import linemast.time.Clock
import linemast.time.SECOND_MICROS
import org.slf4j.LoggerFactory

/** Reads the leader's stored [ProgressSnapshot], at most once a second for all status queries together. */
class ProgressSnapshotReader(
    private val store: KeyValueStore,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val wallMicros: () -> Long,
) {
    private val log = LoggerFactory.getLogger(ProgressSnapshotReader::class.java)

    private var latestRead: Job? = null
    private var latestReadMicros = 0L
    private var latest: ProgressSnapshot? = null

    /** Returns the progress by job id, or null if no recent snapshot is known: the store has none, or is slow to respond. */
    suspend fun recentProgress(): Map<String, JobProgress>? {
        val nowMicros = clock.nowMicros()
        val read = latestRead?.takeIf { nowMicros - latestReadMicros < READ_INTERVAL_MICROS } ?: startRead(nowMicros)
        withTimeoutOrNull(MAX_WAIT_MILLIS) { read.join() }
        return latest?.takeIf { wallMicros() - it.atWallMicros < MAX_AGE_MICROS }?.progress
    }

    /** Starts a read in [scope], which goes on when the query that needs it is cancelled. */
    private fun startRead(nowMicros: Long): Job {
        val read = scope.launch { latest = readSnapshot() ?: latest }
        latestRead = read
        latestReadMicros = nowMicros
        return read
    }

    private suspend fun readSnapshot(): ProgressSnapshot? =
        storeResultOrNull(log) { store.get(ProgressSnapshotCodec.KEY)?.let { ProgressSnapshotCodec.decode(it.value) } }

    private companion object {
        const val READ_INTERVAL_MICROS = SECOND_MICROS

        /** Users wait 2 s for the response to a status query, which takes another read. */
        const val MAX_WAIT_MILLIS = 500L

        /** The state that users are told may lag by up to this much. */
        const val MAX_AGE_MICROS = 3 * SECOND_MICROS
    }
}

package linemast.duties

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import linemast.leadership.LeaderLease
import linemast.store.CommitResult
import linemast.store.KeyValueStore
import linemast.store.RequestPriority
import linemast.store.TransactionBatcher
import linemast.store.storeResultOrNull
import org.slf4j.LoggerFactory

/**
 * Writes intents to the store by group commit: one transaction at a time, with all writes that are waiting.
 *
 * Every transaction depends on the leader's fence and on the revisions of the slots that it overwrites. One without an
 * answer is repeated under the same preconditions, so that at most one copy of it is carried out; and none is, however
 * late it arrives, once another controller leads.
 */
internal class IntentWriter(
    private val store: KeyValueStore,
    private val leaderLease: LeaderLease,
    slotCount: Int,
    maxTransactionWrites: Int,
    private val wallMicros: () -> Long,
) {
    private val logger = LoggerFactory.getLogger(IntentWriter::class.java)
    private val batcher = TransactionBatcher(maxTransactionWrites)
    private val slots = IntentSlots(store, slotCount)
    private val conflictResolver = IntentConflictResolver(slots, RETRY_INTERVAL_MILLIS)

    /** Each slot has at most one write waiting, and each write a slot: the number of slots bounds the queue. */
    private val queue = Channel<IntentWrite>(slotCount)
    private var lastNumber = 0L

    /** The intents in the store, as far as this controller has read or written them. */
    val log: IntentLog get() = slots.log

    /** Reads all slots. Late writes of previous leaders cannot change them any more, since this term has begun. */
    suspend fun load() = slots.load()

    /** Commits the intent to carry out [action]; returns once the store holds it. */
    suspend fun open(action: CloudAction): StoredIntent {
        val slot = slots.reserve() ?: throw IntentLogFullException()
        val intent = Intent(IntentId(leaderLease.fencingToken, ++lastNumber), action, wallMicros())
        val committed = CompletableDeferred<StoredIntent>()
        queue.send(IntentWrite.Open(intent, slot, committed))
        return committed.await()
    }

    /**
     * Has the final state of an intent written soon, without waiting for it. If this term ends before that, the next leader
     * repeats the action, which has no further effect.
     */
    suspend fun close(open: StoredIntent, state: IntentState, machineCount: Int) {
        queue.send(IntentWrite.Close(open.intent.closed(state, machineCount, leaderLease.fencingToken), open.slot))
    }

    /** Writes what is queued until the term ends or it is cancelled. */
    suspend fun run() {
        for (first in queue) {
            val waiting = arrayListOf(first)
            while (true) waiting += queue.tryReceive().getOrNull() ?: break
            for (batch in batcher.pack(waiting, IntentWrite::toStoreWrite)) {
                if (!write(batch)) return failPendingWrites(waiting)
            }
        }
    }

    /** Writes [batch] completely; false if the term has ended before that. */
    private suspend fun write(batch: List<IntentWrite>): Boolean {
        var remaining = batch
        while (remaining.isNotEmpty()) {
            if (leaderLease.hasEnded) return false
            when (val result = commit(remaining)) {
                is CommitResult.Applied -> {
                    remaining.forEach { slots.recordCommit(it, result.revision) }
                    return true
                }
                is CommitResult.Conflict -> {
                    if (leaderLease.fence.key in result.failed) {
                        leaderLease.end()
                        return false
                    }
                    remaining = conflictResolver.resolve(remaining)
                }
                is CommitResult.NoSuchLease, null -> delay(RETRY_INTERVAL_MILLIS)
            }
        }
        return true
    }

    /** Null without an answer of the store. */
    private suspend fun commit(writes: List<IntentWrite>): CommitResult? {
        val preconditions = listOf(leaderLease.fence) + writes.map { slots.unchangedPrecondition(it.slot) }
        return storeResultOrNull(logger) { store.commit(preconditions, writes.map(IntentWrite::toStoreWrite), RequestPriority.HIGH) }
    }

    /** The term has ended: fails all that still wait, and whatever is queued later. */
    private fun failPendingWrites(waiting: List<IntentWrite>) {
        val lost = LeadershipLostException(leaderLease.fencingToken)
        queue.close(lost)
        val unwritten = waiting + generateSequence { queue.tryReceive().getOrNull() }
        unwritten.filterIsInstance<IntentWrite.Open>().forEach { it.committed.completeExceptionally(lost) }
    }

    private companion object {
        const val RETRY_INTERVAL_MILLIS = 250L
    }
}

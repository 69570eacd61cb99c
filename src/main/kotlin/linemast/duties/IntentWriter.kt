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
 * Writes intents to the store by group commit: one transaction at a time, with all writes that are queued.
 *
 * The preconditions of every transaction are the leader's fence and the revisions of the slots that it overwrites. A
 * transaction that gets no response is repeated with the same preconditions, so at most one copy of it is applied. Once
 * another controller leads, no copy is applied, however late it arrives.
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

    /** Each queued write has a slot, and each slot has at most one queued write, so the number of slots bounds the queue. */
    private val queue = Channel<IntentWrite>(slotCount)
    private var lastNumber = 0L

    /** The intents in the store, as this controller last read or wrote them. */
    val log: IntentLog get() = slots.log

    /** Reads all slots. Delayed writes of previous leaders no longer change them, because this term has begun. */
    suspend fun load() = slots.load()

    /** Commits an intent to carry out [action] and returns it once the store holds it. */
    suspend fun open(action: CloudAction): StoredIntent {
        val slot = slots.reserve() ?: throw IntentLogFullException()
        val intent = Intent(IntentId(leaderLease.fencingToken, ++lastNumber), action, wallMicros())
        val committed = CompletableDeferred<StoredIntent>()
        queue.send(IntentWrite.Open(intent, slot, committed))
        return committed.await()
    }

    /**
     * Queues the write of the final state of an intent, and does not wait for the write. If this term ends before the write,
     * the next leader repeats the action, which has no further effect.
     */
    suspend fun close(open: StoredIntent, state: IntentState, machineCount: Int) {
        queue.send(IntentWrite.Close(open.intent.closed(state, machineCount, leaderLease.fencingToken), open.slot))
    }

    /** Writes queued intents until the term ends or the coroutine is cancelled. */
    suspend fun run() {
        for (first in queue) {
            val pendingWrites = arrayListOf(first)
            while (true) pendingWrites += queue.tryReceive().getOrNull() ?: break
            for (batch in batcher.pack(pendingWrites, IntentWrite::toStoreWrite)) {
                if (!write(batch)) return failPendingWrites(pendingWrites)
            }
        }
    }

    /** Writes all of [batch]; returns false if the term ends before all is written. */
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

    /** Commits [writes] in one transaction; returns null if the store does not respond. */
    private suspend fun commit(writes: List<IntentWrite>): CommitResult? {
        val preconditions = listOf(leaderLease.fence) + writes.map { slots.unchangedPrecondition(it.slot) }
        return storeResultOrNull(logger) {
            store.commit(preconditions, writes.map(IntentWrite::toStoreWrite), RequestPriority.HIGH)
        }
    }

    /** Fails [pendingWrites], all queued writes and all later ones, because the term has ended. */
    private fun failPendingWrites(pendingWrites: List<IntentWrite>) {
        val lost = LeadershipLostException(leaderLease.fencingToken)
        queue.close(lost)
        val unwritten = pendingWrites + generateSequence { queue.tryReceive().getOrNull() }
        unwritten.filterIsInstance<IntentWrite.Open>().forEach { it.committed.completeExceptionally(lost) }
    }

    private companion object {
        const val RETRY_INTERVAL_MILLIS = 250L
    }
}

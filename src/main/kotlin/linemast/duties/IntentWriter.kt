package linemast.duties

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import linemast.cloud.CloudException
import linemast.leadership.LeaderLease
import linemast.store.CommitResult
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.RequestPriority
import linemast.store.TransactionBatcher
import linemast.store.Write
import linemast.store.listAll
import linemast.store.storeResultOrNull
import org.slf4j.LoggerFactory

/** This controller does not hold the duties any more: whatever it wanted to do is for the next holder to decide. */
class LeadershipLostException(fencingToken: Long) : CloudException.NotPermitted("the term with fencing token $fencingToken has ended")

/** As many intents are open as there are slots: nothing new can be begun until one of them has ended. */
class IntentLogFullException : CloudException.NotPermitted("all slots hold open intents")

/**
 * Writes intents, and their ends, to the store: one transaction at a time, which takes all that wait.
 *
 * Every transaction depends on the leader's fence and on the versions of the slots that it replaces. A transaction
 * without an answer is sent again with the same conditions, so that at most one of its copies is carried out; none is,
 * however late it arrives, once another controller leads.
 */
internal class IntentWriter(
    private val store: KeyValueStore,
    private val leaderLease: LeaderLease,
    slotCount: Int,
    maxTransactionWrites: Int,
    private val wallMicros: () -> Long,
) {
    private sealed interface Request {
        val intent: Intent
        val slot: Int

        /** Answered once the store holds the intent. */
        class Begin(override val intent: Intent, override val slot: Int, val stored: CompletableDeferred<StoredIntent>) : Request

        class Close(override val intent: Intent, override val slot: Int) : Request
    }

    private val logger = LoggerFactory.getLogger(IntentWriter::class.java)
    private val batches = TransactionBatcher(maxTransactionWrites)

    /** A slot has at most one request waiting, and no request is without a slot: the slots bound the queue. */
    private val requests = Channel<Request>(slotCount)
    private var lastNumber = 0L

    /** What the store holds, as far as this controller has read or written it. */
    var log = IntentLog.empty(slotCount)
        private set

    /** Reads all slots. Late writes of earlier leaders can change none of them any more, since this term has begun. */
    suspend fun load() {
        log = log.reload(store.listAll(IntentCodec.PREFIX).entries)
        if (log.unreadable.isNotEmpty()) logger.error("slots {} hold no intent and are left alone", log.unreadable)
    }

    /** Commits that [action] is to be done, and returns once the store holds it. */
    suspend fun begin(action: CloudAction): StoredIntent {
        val slot = log.freeSlot() ?: throw IntentLogFullException()
        log = log.reserve(slot)
        val intent = Intent(IntentId(leaderLease.fencingToken, ++lastNumber), action, wallMicros())
        val stored = CompletableDeferred<StoredIntent>()
        requests.send(Request.Begin(intent, slot, stored))
        return stored.await()
    }

    /** Has the end of an intent stored, soon. If this term ends before that, the next leader repeats the action, which does no more. */
    suspend fun close(open: StoredIntent, state: IntentState, machineCount: Int) {
        requests.send(Request.Close(open.intent.closed(state, machineCount, leaderLease.fencingToken), open.slot))
    }

    /** Writes what is asked for until the term ends or it is cancelled. */
    suspend fun run() {
        for (first in requests) {
            val waiting = arrayListOf(first)
            while (true) waiting += requests.tryReceive().getOrNull() ?: break
            for (batch in batches.pack(waiting, ::writeOf)) {
                if (!write(batch)) return abandon(waiting)
            }
        }
    }

    private fun writeOf(request: Request): Write = Write.Put(IntentCodec.key(request.slot), IntentCodec.encode(request.intent))

    /** False when the term has ended. */
    private suspend fun write(batch: List<Request>): Boolean {
        var left = batch
        while (left.isNotEmpty()) {
            if (leaderLease.ended) return false
            when (val result = commit(left)) {
                is CommitResult.Applied -> {
                    left.forEach { stored(it, result.revision) }
                    return true
                }
                is CommitResult.Conflict -> {
                    if (leaderLease.fence.key in result.failed) {
                        leaderLease.end()
                        return false
                    }
                    left = notYetStored(left)
                }
                is CommitResult.NoSuchLease, null -> delay(RETRY_MILLIS)
            }
        }
        return true
    }

    private suspend fun commit(requests: List<Request>): CommitResult? {
        val slots = requests.map { it.slot }
        val preconditions = slots.map { Precondition(IntentCodec.key(it), log.revisionOf(it)) }
        return storeResultOrNull(logger) {
            store.commit(listOf(leaderLease.fence) + preconditions, requests.map(::writeOf), RequestPriority.HIGH)
        }
    }

    /** A slot is not as it was taken to be: most likely an earlier copy of the same transaction was carried out. */
    private suspend fun notYetStored(batch: List<Request>): List<Request> {
        if (storeResultOrNull(logger) { load() } == null) {
            delay(RETRY_MILLIS)
            return batch
        }
        return batch.mapNotNull { request ->
            val found = log[request.slot]
            when {
                found?.intent == request.intent -> null.also { stored(request, found.revision) }
                request is Request.Begin -> elsewhere(request)
                // The slot holds another intent, so that this one has long ended.
                else -> request.takeIf { found?.intent?.id == request.intent.id }
            }
        }
    }

    /** The same request with a slot that is free. */
    private fun elsewhere(request: Request.Begin): Request? {
        log = log.release(request.slot)
        val slot = log.freeSlot()
        if (slot == null) {
            request.stored.completeExceptionally(IntentLogFullException())
            return null
        }
        log = log.reserve(slot)
        return Request.Begin(request.intent, slot, request.stored)
    }

    private fun stored(request: Request, revision: Long) {
        val entry = StoredIntent(request.slot, request.intent, revision)
        log = log.put(entry)
        if (request is Request.Begin) request.stored.complete(entry)
    }

    private fun abandon(waiting: List<Request>) {
        val lost = LeadershipLostException(leaderLease.fencingToken)
        requests.close(lost)
        val unanswered = waiting + generateSequence { requests.tryReceive().getOrNull() }
        unanswered.filterIsInstance<Request.Begin>().forEach { it.stored.completeExceptionally(lost) }
    }

    private companion object {
        const val RETRY_MILLIS = 250L
    }
}

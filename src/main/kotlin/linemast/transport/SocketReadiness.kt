package linemast.transport

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import kotlinx.coroutines.suspendCancellableCoroutine
import java.nio.channels.CancelledKeyException
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Suspends coroutines until their socket is ready to read, write, accept or connect. */
internal class SocketReadiness(private val selector: Selector) {
    /** Waits until [selectable] is ready for [interest]; throws if it is closed. */
    suspend fun await(selectable: Selectable, interest: SelectInterest) {
        suspendCancellableCoroutine { continuation ->
            selectable.suspensions.addSuspension(interest, continuation)
            continuation.invokeOnCancellation { selectable.suspensions.removeSuspension(interest) }
            try {
                registerInterest(selectable, interest)
            } catch (e: ClosedChannelException) {
                fail(selectable, e)
            } catch (e: CancelledKeyException) {
                fail(selectable, e)
            }
        }
    }

    private fun registerInterest(selectable: Selectable, interest: SelectInterest) {
        val key = selectable.channel.keyFor(selector)
        if (key == null) {
            selectable.channel.register(selector, interest.flag, selectable)
        } else {
            val interests = key.interestOps()
            if (interests and interest.flag == 0) key.interestOps(interests or interest.flag)
        }
    }

    /**
     * Resumes the coroutines that wait for an operation for which [key] is ready.
     *
     * If the socket has been closed since it was selected, its key is cancelled; the exception that this causes must not end the
     * event loop.
     */
    fun onReady(key: SelectionKey) {
        try {
            resumeReady(key)
        } catch (e: CancelledKeyException) {
            fail(key.attachment() as Selectable, e)
        }
    }

    private fun resumeReady(key: SelectionKey) {
        val selectable = key.attachment() as Selectable
        val readyOps = key.readyOps()
        val interests = key.interestOps()
        var remaining = interests
        for (interest in SelectInterest.AllInterests) {
            if (readyOps and interest.flag == 0) continue
            val continuation = selectable.suspensions.removeSuspension(interest)
            continuation?.resume(Unit)
            // Reading and accepting recur, so their interest stays registered, which saves a system call each time.
            val keepsInterest = interest == SelectInterest.READ || interest == SelectInterest.ACCEPT
            if (continuation == null || !keepsInterest) remaining = remaining and interest.flag.inv()
        }
        if (remaining != interests) key.interestOps(remaining)
    }

    /** Fails all coroutines that wait for [selectable], which has been closed. */
    fun onClosed(selectable: Selectable) = fail(selectable, ClosedChannelException())

    private fun fail(selectable: Selectable, cause: Exception) {
        for (interest in SelectInterest.AllInterests) selectable.suspensions.removeSuspension(interest)?.resumeWithException(cause)
    }
}

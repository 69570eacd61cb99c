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

/** The coroutines that wait until a socket can be read, written, accepted from or connected. */
internal class SocketReadiness(private val selector: Selector) {
    /** Waits until [selectable] is ready for [interest]; throws when it is closed. */
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
     * Resumes the coroutines that wait for what [key] is ready for.
     *
     * The key may be cancelled by a socket that is closed while its turn comes: that must not end the loop.
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
            // What is read or accepted again and again stays watched, so that it costs no system call each time.
            val keepsInterest = interest == SelectInterest.READ || interest == SelectInterest.ACCEPT
            if (continuation == null || !keepsInterest) remaining = remaining and interest.flag.inv()
        }
        if (remaining != interests) key.interestOps(remaining)
    }

    /** Fails all coroutines that wait for [selectable], which is closed. */
    fun onClosed(selectable: Selectable) = fail(selectable, ClosedChannelException())

    private fun fail(selectable: Selectable, cause: Exception) {
        for (interest in SelectInterest.AllInterests) selectable.suspensions.removeSuspension(interest)?.resumeWithException(cause)
    }
}

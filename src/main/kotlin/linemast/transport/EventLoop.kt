package linemast.transport

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.suspendCancellableCoroutine
import java.nio.ByteBuffer
import java.nio.channels.CancelledKeyException
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.nio.channels.spi.SelectorProvider
import java.util.PriorityQueue
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/**
 * One thread that runs every coroutine, every timer and every socket of a controller.
 *
 * ktor-network's own selector manager wants a thread to itself, and its sockets copy bytes in coroutines on a
 * pool: each message then passes through three threads. At a small share of a core that was most of what a
 * report cost. Here the selector is asked between coroutines by the thread that runs them.
 */
@OptIn(InternalCoroutinesApi::class)
class EventLoop :
    CoroutineDispatcher(),
    Delay,
    SelectorManager {
    private val selector: Selector = Selector.open()
    private val ready = ArrayDeque<Runnable>()
    private val fromElsewhere = ConcurrentLinkedQueue<Runnable>()
    private val timers = PriorityQueue<Timer>()
    private var timerCount = 0L
    private var thread: Thread? = null

    /** Received bytes pass through here on their way to their connection. */
    internal val scratch: ByteBuffer = ByteBuffer.allocateDirect(SCRATCH_BYTES)

    override val coroutineContext: CoroutineContext get() = this
    override val provider: SelectorProvider get() = selector.provider()

    private class Timer(val atNanos: Long, val number: Long, var action: Runnable?) :
        Comparable<Timer>,
        DisposableHandle {
        override fun compareTo(other: Timer): Int =
            if (atNanos != other.atNanos) (atNanos - other.atNanos).compareTo(0) else number.compareTo(other.number)

        /** Left in the queue until its time: taking it out would cost more. */
        override fun dispose() {
            action = null
        }
    }

    /** Told how long each turn of the loop took, in microseconds: for so long nothing else could be answered. */
    var onTurn: ((Long) -> Unit)? = null

    /** Runs [main] and all that it starts on the calling thread, until it ends. */
    fun <T> run(main: suspend CoroutineScope.() -> T): T {
        thread = Thread.currentThread()
        val result = CoroutineScope(this).async(block = main)
        while (true) {
            runTurn()
            if (result.isCompleted) return result.getCompleted()
            awaitSockets()
            fireTimers()
        }
    }

    private fun runTurn() {
        val told = onTurn ?: return runReady()
        val start = System.nanoTime()
        runReady()
        told((System.nanoTime() - start) / 1_000)
    }

    private fun runReady() {
        var left = ROUTINES_BEFORE_SOCKETS
        while (left-- > 0) (ready.removeFirstOrNull() ?: fromElsewhere.poll() ?: return).run()
    }

    private fun awaitSockets() {
        val wait = when {
            ready.isNotEmpty() || fromElsewhere.isNotEmpty() -> 0L
            else -> timers.peek()?.let { (it.atNanos - System.nanoTime()).coerceAtLeast(0) } ?: Long.MAX_VALUE
        }
        when (wait) {
            0L -> selector.selectNow(::fire)
            Long.MAX_VALUE -> selector.select(::fire)
            else -> selector.select(::fire, (wait + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI)
        }
    }

    private fun fireTimers() {
        if (timers.isEmpty()) return
        val now = System.nanoTime()
        while (true) {
            val first = timers.peek() ?: return
            if (first.atNanos - now > 0) return
            timers.poll()
            first.action?.run()
        }
    }

    /** A key may be cancelled by a socket that is closed while its turn comes: that must not end the loop. */
    private fun fire(key: SelectionKey) {
        try {
            resumeWaiting(key)
        } catch (e: CancelledKeyException) {
            fail(key.attachment() as Selectable, e)
        }
    }

    private fun resumeWaiting(key: SelectionKey) {
        val selectable = key.attachment() as Selectable
        val readyOps = key.readyOps()
        val interests = key.interestOps()
        var kept = interests
        for (interest in SelectInterest.AllInterests) {
            if (readyOps and interest.flag == 0) continue
            val waiting = selectable.suspensions.removeSuspension(interest)
            waiting?.resume(Unit)
            // What is read or accepted again and again stays watched, so that it costs no call each time.
            val lasting = interest == SelectInterest.READ || interest == SelectInterest.ACCEPT
            if (waiting == null || !lasting) kept = kept and interest.flag.inv()
        }
        if (kept != interests) key.interestOps(kept)
    }

    override suspend fun select(selectable: Selectable, interest: SelectInterest) {
        suspendCancellableCoroutine { waiting ->
            selectable.suspensions.addSuspension(interest, waiting)
            waiting.invokeOnCancellation { selectable.suspensions.removeSuspension(interest) }
            try {
                watch(selectable, interest)
            } catch (e: ClosedChannelException) {
                fail(selectable, e)
            } catch (e: CancelledKeyException) {
                fail(selectable, e)
            }
        }
    }

    private fun watch(selectable: Selectable, interest: SelectInterest) {
        val key = selectable.channel.keyFor(selector)
        if (key == null) {
            selectable.channel.register(selector, interest.flag, selectable)
        } else {
            val interests = key.interestOps()
            if (interests and interest.flag == 0) key.interestOps(interests or interest.flag)
        }
    }

    override fun notifyClosed(selectable: Selectable) = fail(selectable, ClosedChannelException())

    private fun fail(selectable: Selectable, cause: Exception) {
        for (interest in SelectInterest.AllInterests) selectable.suspensions.removeSuspension(interest)?.resumeWithException(cause)
    }

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (Thread.currentThread() === thread) {
            ready.addLast(block)
        } else {
            fromElsewhere.add(block)
            selector.wakeup()
        }
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        val timer = at(timeMillis) { with(continuation) { resumeUndispatched(Unit) } }
        continuation.invokeOnCancellation { timer.dispose() }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle = at(timeMillis, block)

    private fun at(timeMillis: Long, action: Runnable): Timer {
        val nanos = timeMillis.coerceIn(0, LONGEST_MILLIS) * NANOS_PER_MILLI
        return Timer(System.nanoTime() + nanos, timerCount++, action).also(timers::add)
    }

    override fun close() = selector.close()

    private companion object {
        const val SCRATCH_BYTES = 64 * 1024
        const val ROUTINES_BEFORE_SOCKETS = 64
        const val NANOS_PER_MILLI = 1_000_000L
        const val LONGEST_MILLIS = 30L * 24 * 3_600 * 1_000
    }
}

package linemast.transport

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.async
import java.nio.ByteBuffer
import java.nio.channels.Selector
import java.nio.channels.spi.SelectorProvider
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.coroutines.CoroutineContext

/**
 * An event loop that runs all coroutines, timers and sockets of a controller on one thread.
 *
 * The selector manager of ktor-network needs a thread of its own, and its sockets copy bytes in coroutines on a thread pool, so
 * that each message passes through three threads. With a small share of a core, this was most of the cost of a heartbeat. In
 * this loop, the thread that runs the coroutines also polls the selector between them.
 */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
class EventLoop :
    CoroutineDispatcher(),
    Delay,
    SelectorManager {
    private val selector: Selector = Selector.open()
    private val readiness = SocketReadiness(selector)
    private val readyTasks = ArrayDeque<Runnable>()
    private val tasksFromOtherThreads = ConcurrentLinkedQueue<Runnable>()
    private val timers = TimerQueue()
    private var thread: Thread? = null

    /** Shared by all connections: bytes are read from a socket into this buffer and then copied to the buffer of their connection. */
    internal val receiveBuffer: ByteBuffer = ByteBuffer.allocateDirect(RECEIVE_BUFFER_BYTES)

    override val coroutineContext: CoroutineContext get() = this
    override val provider: SelectorProvider get() = selector.provider()

    /** Called after each iteration with the microseconds for which it ran coroutines; no socket or timer was served meanwhile. */
    var onIteration: ((Long) -> Unit)? = null

    /** Runs [main] and its child coroutines on the calling thread until they end; returns the result of [main]. */
    fun <T> run(main: suspend CoroutineScope.() -> T): T {
        thread = Thread.currentThread()
        val result = CoroutineScope(this).async(block = main)
        while (true) {
            runIteration()
            if (result.isCompleted) return result.getCompleted()
            awaitSockets()
            timers.fireDue()
        }
    }

    private fun runIteration() {
        val listener = onIteration ?: return runReadyTasks()
        val startNanos = System.nanoTime()
        runReadyTasks()
        listener((System.nanoTime() - startNanos) / NANOS_PER_MICRO)
    }

    private fun runReadyTasks() {
        var remaining = MAX_TASKS_PER_ITERATION
        while (remaining-- > 0) (readyTasks.removeFirstOrNull() ?: tasksFromOtherThreads.poll() ?: return).run()
    }

    /** Polls the selector: waits at most until the next timer is due, and not at all while tasks are ready. */
    private fun awaitSockets() {
        val hasTasks = readyTasks.isNotEmpty() || tasksFromOtherThreads.isNotEmpty()
        when (val waitNanos = if (hasTasks) 0L else timers.nanosUntilNext()) {
            0L -> selector.selectNow(readiness::onReady)
            TimerQueue.NO_TIMER -> selector.select(readiness::onReady)
            else -> selector.select(readiness::onReady, millisRoundedUp(waitNanos))
        }
    }

    private fun millisRoundedUp(nanos: Long) = (nanos + TimerQueue.NANOS_PER_MILLI - 1) / TimerQueue.NANOS_PER_MILLI

    override suspend fun select(selectable: Selectable, interest: SelectInterest) = readiness.await(selectable, interest)

    override fun notifyClosed(selectable: Selectable) = readiness.onClosed(selectable)

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (Thread.currentThread() === thread) {
            readyTasks.addLast(block)
        } else {
            tasksFromOtherThreads.add(block)
            selector.wakeup()
        }
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        val timer = timers.schedule(timeMillis) { with(continuation) { resumeUndispatched(Unit) } }
        continuation.invokeOnCancellation { timer.dispose() }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle =
        timers.schedule(timeMillis, block)

    override fun close() = selector.close()

    private companion object {
        const val RECEIVE_BUFFER_BYTES = 64 * 1024

        /** Bounds an iteration, so that sockets and timers are served even while coroutines keep resuming each other. */
        const val MAX_TASKS_PER_ITERATION = 64
        const val NANOS_PER_MICRO = 1_000
    }
}

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
 * One thread that runs every coroutine, every timer and every socket of a controller.
 *
 * ktor-network's own selector manager wants a thread to itself, and its sockets copy bytes in coroutines on a pool: each
 * message then passes through three threads. At a small share of a core that was most of the cost of a heartbeat. Here the
 * thread that runs the coroutines asks the selector between them.
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

    /** Received bytes pass through here on their way to their connection. */
    internal val receiveBuffer: ByteBuffer = ByteBuffer.allocateDirect(RECEIVE_BUFFER_BYTES)

    override val coroutineContext: CoroutineContext get() = this
    override val provider: SelectorProvider get() = selector.provider()

    /** Called with how long each iteration ran coroutines, in microseconds: for so long nothing else could be answered. */
    var onIteration: ((Long) -> Unit)? = null

    /** Runs [main] and all that it starts on the calling thread, until it ends. */
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

    /** Waits for sockets, for no longer than until the next timer, and not at all while tasks are ready. */
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

        /** So that sockets and timers get their turn while coroutines keep each other busy. */
        const val MAX_TASKS_PER_ITERATION = 64
        const val NANOS_PER_MICRO = 1_000
    }
}

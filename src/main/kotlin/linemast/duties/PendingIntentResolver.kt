package linemast.duties

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.cloud.MAX_MACHINES_PER_SCALE_IN_CALL
import linemast.cloud.ScaleOutRequest
import linemast.cloud.ScaleOutResult
import org.slf4j.LoggerFactory

/** Queries and updates of the leader's state while pending intents are resolved. Called on the coroutine that owns that state. */
internal interface IntentResolutionEffects {
    /** Whether it is certain that no task is on the machine. */
    fun isFree(machineName: String): Boolean

    /** Records that the cloud has confirmed the removal of the machines [names]. */
    fun recordScaleInConfirmed(names: List<String>)

    /** Records the [result] of a previous leader's [request]; it is unknown if the request is no longer repeated. */
    fun recordScaleOutResult(request: ScaleOutRequest, result: ScaleOutResult)
}

/** Carries out the intents that previous leaders committed and did not close. */
internal class PendingIntentResolver(
    private val executor: WriteAheadCloudActionExecutor,
    private val effects: IntentResolutionEffects,
    private val enqueueOnLeader: suspend (() -> Unit) -> Unit,
) {
    private val logger = LoggerFactory.getLogger(PendingIntentResolver::class.java)
    private val pending = executor.openIntentsOfPreviousLeaders
    private val scaleIns = PendingScaleIns(pending)

    /** Machines whose scale-in may take effect at any time. */
    val machinesScalingIn: Set<String> get() = scaleIns.unconfirmedNames

    /** Scale-out requests that may take effect at any time. */
    val scaleOuts: List<ScaleOutRequest> get() = pending.mapNotNull { (it.intent.action as? CloudAction.ScaleOut)?.request }

    /** Starts resolving the intents in [scope]; this ends when all intents are closed or the leadership is lost. */
    fun start(scope: CoroutineScope) {
        if (pending.isEmpty()) return
        logger.info(
            "{} open actions of previous leaders: {}",
            pending.size,
            pending.map {
                "${it.intent.action.duty.storedName} ${it.intent.id}"
            },
        )
        for (stored in pending) {
            val action = stored.intent.action as? CloudAction.ScaleOut ?: continue
            scope.launch { resolveScaleOut(stored, action) }
        }
        scope.launch { resolveScaleIns() }
    }

    /** Repeats the request with its own id: the response lists the granted machines, whichever controller sent it first. */
    private suspend fun resolveScaleOut(stored: StoredIntent, action: CloudAction.ScaleOut) = runUntilLeadershipLost {
        val result = executor.runner.scaleOut(stored, action)
        enqueueOnLeader { effects.recordScaleOutResult(action.request, result) }
    }

    private suspend fun resolveScaleIns() = runUntilLeadershipLost {
        while (!scaleIns.isEmpty) {
            val names = startNextScaleIns()
            if (names.isEmpty()) delay(POLL_INTERVAL_MILLIS) else scaleIn(names)
        }
    }

    private suspend fun startNextScaleIns(): List<String> {
        val free = CompletableDeferred<List<String>>()
        enqueueOnLeader { free.complete(scaleIns.startNext(MAX_MACHINES_PER_SCALE_IN_CALL, effects::isFree)) }
        return free.await()
    }

    private suspend fun scaleIn(names: List<String>) {
        executor.runner.scaleIn(names)
        enqueueOnLeader { effects.recordScaleInConfirmed(names) }
        for (completed in scaleIns.confirm(names)) {
            executor.runner.closeScaleIn(completed.stored, completed.action.names.size)
        }
    }

    /** Runs [action] until it completes or the leadership is lost; the next leader resolves the remaining intents. */
    private suspend fun runUntilLeadershipLost(action: suspend () -> Unit) {
        try {
            action()
        } catch (e: LeadershipLostException) {
            logger.debug("resolving open actions of previous leaders stopped: {}", e.message)
        }
    }

    private companion object {
        const val POLL_INTERVAL_MILLIS = 500L
    }
}

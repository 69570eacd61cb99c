package linemast.duties

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.cloud.MAX_MACHINES_PER_SCALE_IN_CALL
import linemast.cloud.ScaleOutRequest
import linemast.cloud.ScaleOutResult
import org.slf4j.LoggerFactory

/** What a new leader's state has to know of the intents that it inherits. Called on the coroutine that owns that state. */
internal interface IntentResolutionEffects {
    /** Whether no task can be on the machine. */
    fun isFree(machineName: String): Boolean

    /** The cloud has confirmed that the machines are gone. */
    fun scaleInConfirmed(names: List<String>)

    /** What became of a rental that an earlier leader asked for. */
    fun scaleOutFinished(request: ScaleOutRequest, result: ScaleOutResult)
}

/** Carries out what earlier leaders committed and did not end. */
internal class PendingIntentResolver(
    private val holder: WriteAheadCloudActionExecutor,
    private val effects: IntentResolutionEffects,
    private val onLeaderLoop: suspend (() -> Unit) -> Unit,
) {
    private val logger = LoggerFactory.getLogger(PendingIntentResolver::class.java)
    private val inherited = holder.inherited
    private val scaleIns = PendingScaleIns(inherited)

    /** Machines whose return may be carried out at any moment. */
    val machinesScalingIn: Set<String> get() = scaleIns.names

    /** Rentals that may be carried out at any moment. */
    val scaleOuts: List<ScaleOutRequest> get() = inherited.mapNotNull { (it.intent.action as? CloudAction.ScaleOut)?.request }

    /** Begins the work in [scope]; it ends by itself. */
    fun start(scope: CoroutineScope) {
        if (inherited.isEmpty()) return
        logger.info("inherited {} open actions: {}", inherited.size, inherited.map { "${it.intent.action.duty.stored} ${it.intent.id}" })
        for (stored in inherited) {
            val rental = stored.intent.action as? CloudAction.ScaleOut ?: continue
            scope.launch { adopt(stored, rental) }
        }
        scope.launch { finishReturns() }
    }

    /** Asks under the same id: the answer says what was rented, whoever asked first. */
    private suspend fun adopt(stored: StoredIntent, rental: CloudAction.ScaleOut) = untilLeadershipLost {
        val result = holder.runner.scaleOut(stored, rental)
        onLeaderLoop { effects.scaleOutFinished(rental.request, result) }
    }

    private suspend fun finishReturns() = untilLeadershipLost {
        while (!scaleIns.isOver) {
            val free = CompletableDeferred<List<String>>()
            onLeaderLoop { free.complete(scaleIns.next(MAX_MACHINES_PER_SCALE_IN_CALL, effects::isFree)) }
            val names = free.await()
            if (names.isEmpty()) delay(LOOK_MILLIS) else finish(names)
        }
    }

    private suspend fun finish(names: List<String>) {
        holder.runner.scaleIn(names)
        onLeaderLoop { effects.scaleInConfirmed(names) }
        for (over in scaleIns.confirmed(names)) {
            holder.runner.closeReturn(over, (over.intent.action as CloudAction.ScaleIn).names.size)
        }
    }

    private suspend fun untilLeadershipLost(action: suspend () -> Unit) {
        try {
            action()
        } catch (e: LeadershipLostException) {
            logger.debug("{}", e.message)
        }
    }

    private companion object {
        const val LOOK_MILLIS = 500L
    }
}

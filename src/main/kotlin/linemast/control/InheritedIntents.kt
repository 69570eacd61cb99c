package linemast.control

import kotlinx.coroutines.launch
import linemast.cloud.Fleet
import linemast.cloud.ScaleOutRequest
import linemast.cloud.ScaleOutResult
import linemast.duties.IntentResolutionEffects
import linemast.duties.PendingIntentResolver
import linemast.duties.WriteAheadCloudActionExecutor
import linemast.scheduling.Cluster
import linemast.store.RetryPolicy
import org.slf4j.LoggerFactory

/** Adopts the scale-out and scale-in intents of previous leaders into the state of a new leader, before its first decision. */
internal class InheritedIntents(
    private val term: LeaderTerm,
    private val executor: WriteAheadCloudActionExecutor,
    private val cluster: Cluster,
    private val fleet: Fleet,
    private val cloudOperations: CloudOperations,
) : IntentResolutionEffects {
    private val log = LoggerFactory.getLogger(InheritedIntents::class.java)

    /**
     * Reads all intents and marks their machines and requests in the leader's state, then returns.
     *
     * Intents that are still open are carried out by coroutines in the term's scope.
     */
    suspend fun adopt() {
        RETRY.untilResult(log) { executor.load() }
        val pendingIntents = PendingIntentResolver(executor, this, term.eventLoop::enqueue)
        cluster.markScalingIn(pendingIntents.machinesScalingIn)
        fleet.markScalingIn(pendingIntents.machinesScalingIn)
        pendingIntents.scaleOuts.forEach(fleet::addPendingScaleOut)
        term.scope.launch { executor.run() }
        pendingIntents.start(term.scope)
    }

    override fun isFree(machineName: String): Boolean = cluster.isFree(machineName)

    override fun recordScaleInConfirmed(names: List<String>) = cloudOperations.recordScaleInConfirmed(names)

    override fun recordScaleOutResult(request: ScaleOutRequest, result: ScaleOutResult) =
        cloudOperations.recordScaleOutResult(request, result)

    private companion object {
        val RETRY = RetryPolicy(delayMillis = 250)
    }
}

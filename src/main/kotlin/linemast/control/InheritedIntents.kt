package linemast.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.cloud.Fleet
import linemast.cloud.ScaleOutRequest
import linemast.cloud.ScaleOutResult
import linemast.duties.IntentResolutionEffects
import linemast.duties.PendingIntentResolver
import linemast.duties.WriteAheadCloudActionExecutor
import linemast.scheduling.Cluster
import linemast.store.storeResultOrNull
import org.slf4j.LoggerFactory

/** Has a new leader's state know what earlier leaders have committed to do at the cloud, before anything is decided. */
internal class InheritedIntents(
    private val duties: WriteAheadCloudActionExecutor,
    private val cluster: Cluster,
    private val fleet: Fleet,
    private val cloudOperations: CloudOperations,
    private val scope: CoroutineScope,
    /** Runs an action on the coroutine that owns the cluster state. */
    private val onLeaderLoop: suspend (() -> Unit) -> Unit,
) : IntentResolutionEffects {
    private val log = LoggerFactory.getLogger(InheritedIntents::class.java)

    /** Returns once all is read and marked; what is left to be done goes on in the leader's scope. */
    suspend fun takeOver() {
        while (storeResultOrNull(log) { duties.load() } == null) delay(RETRY_MILLIS)
        val pendingIntents = PendingIntentResolver(duties, this, onLeaderLoop)
        cluster.markBeingReturned(pendingIntents.machinesScalingIn)
        fleet.markScalingIn(pendingIntents.machinesScalingIn)
        pendingIntents.scaleOuts.forEach(fleet::addPendingScaleOut)
        scope.launch { duties.run() }
        pendingIntents.start(scope)
    }

    override fun isFree(machineName: String): Boolean = cluster.isFree(machineName)

    override fun scaleInConfirmed(names: List<String>) = cloudOperations.scaleInConfirmed(names)

    override fun scaleOutFinished(request: ScaleOutRequest, result: ScaleOutResult) = cloudOperations.scaleOutFinished(request, result)

    private companion object {
        const val RETRY_MILLIS = 250L
    }
}

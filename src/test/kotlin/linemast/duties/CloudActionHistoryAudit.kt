package linemast.duties

import linemast.simulation.SimOrder
import linemast.simulation.SimWorld

/** What is wrong with an order that the cloud carried out. */
enum class CloudActionFault {
    /** No intent for it was committed before it. */
    NO_INTENT,

    /** Its intent was committed by a controller that did not lead then. */
    STALE_INTENT,

    /** It ended work that was started after its intent was committed. */
    INTERRUPTED_WORK,
}

/** Checks each order that the stand-in of the cloud has carried out against the history of the stand-in of the store. */
class CloudActionHistoryAudit(private val world: SimWorld) {
    private class Decision(val intent: Intent, val revision: Long, val leaderToken: Long?)

    private val decisions = decisions()

    /** Orders with a fault. */
    fun faults(): List<Pair<SimOrder, CloudActionFault>> = world.cloud.orders.mapNotNull { order -> faultOf(order)?.let { order to it } }

    /** Orders that were carried out after the term that had decided them was over: late, and allowed. */
    fun lateOrders(): Int = world.cloud.orders.count { order ->
        val decided = decisionsOf(order).firstOrNull { it.revision <= order.revision } ?: return@count false
        leaderAt(order.revision) != decided.intent.id.fencingToken
    }

    private fun decisions(): List<Decision> = world.store.history.mapNotNull { change ->
        val value = change.value?.takeIf { IntentCodec.slot(change.key) != null } ?: return@mapNotNull null
        val intent = IntentCodec.decode(value)
        if (intent.state.isTerminal) null else Decision(intent, change.revision, leaderAt(change.revision))
    }

    /** Fencing token of the leader by the store's [revision]; null while there is none. */
    private fun leaderAt(revision: Long): Long? =
        world.store.history.lastOrNull { it.key == "leader" && it.revision <= revision }?.value?.long("helm")

    private fun decisionsOf(order: SimOrder): List<Decision> = decisions.filter { decision ->
        when (val action = decision.intent.action) {
            is CloudAction.ScaleOut -> action.request == order.rental
            is CloudAction.ScaleIn -> order.returned.any(action.names::contains)
        }
    }

    private fun faultOf(order: SimOrder): CloudActionFault? {
        val earlier = decisionsOf(order).filter { it.revision <= order.revision }
        val covered = earlier.flatMap { (it.intent.action as? CloudAction.ScaleIn)?.names ?: emptyList() }
        return when {
            earlier.isEmpty() || !covered.containsAll(order.returned) -> CloudActionFault.NO_INTENT
            earlier.any { it.intent.id.fencingToken != it.leaderToken } -> CloudActionFault.STALE_INTENT
            order.interrupted.any { task -> task.startRevision > earlier.maxOf { it.revision } } -> CloudActionFault.INTERRUPTED_WORK
            else -> null
        }
    }
}

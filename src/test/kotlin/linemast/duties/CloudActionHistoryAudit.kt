package linemast.duties

import linemast.simulation.SimCloudAction
import linemast.simulation.SimWorld

/** Faults that the audit detects in an action that the cloud carried out. */
enum class CloudActionFault {
    /** No intent for the action was committed before the cloud carried out the action. */
    NO_INTENT,

    /** The intent was committed by a controller that was not the leader when the intent was committed. */
    STALE_INTENT,

    /** The action interrupted tasks that were started after its intent was committed. */
    INTERRUPTED_TASKS,
}

/** An action that the cloud carried out and that has a [fault]. */
data class FaultyCloudAction(val action: SimCloudAction, val fault: CloudActionFault)

/** Checks each action that the simulated cloud has carried out against the history of the simulated store. */
class CloudActionHistoryAudit(private val world: SimWorld) {
    private class Decision(val intent: Intent, val revision: Long, val leaderToken: Long?)

    private val decisions = decisions()

    /** Returns the actions that have a fault. */
    fun faults(): List<FaultyCloudAction> =
        world.cloud.actions.mapNotNull { action -> faultOf(action)?.let { FaultyCloudAction(action, it) } }

    /** Returns the number of actions that were carried out after the term that decided them had ended, which is permitted. */
    fun lateActions(): Int = world.cloud.actions.count { action ->
        val decided = decisionsOf(action).firstOrNull { it.revision <= action.revision } ?: return@count false
        leaderAt(action.revision) != decided.intent.id.fencingToken
    }

    private fun decisions(): List<Decision> = world.store.history.mapNotNull { change ->
        val value = change.value?.takeIf { IntentCodec.slot(change.key) != null } ?: return@mapNotNull null
        val intent = IntentCodec.decode(value)
        if (intent.state.isTerminal) null else Decision(intent, change.revision, leaderAt(change.revision))
    }

    /** Returns the fencing token of the leader as of the store's [revision]; null if there was no leader. */
    private fun leaderAt(revision: Long): Long? =
        world.store.history.lastOrNull { it.key == "leader" && it.revision <= revision }?.value?.long("helm")

    private fun decisionsOf(action: SimCloudAction): List<Decision> = decisions.filter { decision ->
        when (val intended = decision.intent.action) {
            is CloudAction.ScaleOut -> intended.request == action.scaleOutRequest
            is CloudAction.ScaleIn -> action.removedMachines.any(intended.names::contains)
        }
    }

    private fun faultOf(action: SimCloudAction): CloudActionFault? {
        val earlier = decisionsOf(action).filter { it.revision <= action.revision }
        val machinesInDecidedScaleIns = earlier.flatMap { (it.intent.action as? CloudAction.ScaleIn)?.names ?: emptyList() }
        return when {
            earlier.isEmpty() || !machinesInDecidedScaleIns.containsAll(action.removedMachines) -> CloudActionFault.NO_INTENT
            earlier.any { it.intent.id.fencingToken != it.leaderToken } -> CloudActionFault.STALE_INTENT
            action.interruptedTasks.any { task -> task.startRevision > earlier.maxOf { it.revision } } -> CloudActionFault.INTERRUPTED_TASKS
            else -> null
        }
    }
}

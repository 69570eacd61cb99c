package linemast.duties

import linemast.cloud.Cloud
import linemast.cloud.CloudActionExecutor
import linemast.cloud.CloudException
import linemast.cloud.MAX_MACHINES_PER_SCALE_IN_CALL
import linemast.cloud.ScaleInBatch
import linemast.cloud.ScaleOutRequest
import linemast.cloud.ScaleOutResult
import linemast.leadership.LeaderLease
import linemast.serialization.JsonSize
import linemast.settings.Duty
import linemast.settings.DutySettings
import linemast.settings.StoreLimits
import linemast.store.KeyValueStore
import linemast.time.Clock

/**
 * Carries out the cloud actions of one term, with a write-ahead log of intents.
 *
 * The cloud is not called before the store holds the intent, committed with this term's fence as a precondition. Therefore a
 * controller that is no longer the leader cannot begin an action, even if its clock is wrong. A call of such a controller that
 * arrives late only has the effect of an intent that the next leader has read in the store and takes into account.
 */
internal class WriteAheadCloudActionExecutor(
    private val settings: DutySettings,
    store: KeyValueStore,
    cloud: Cloud,
    clock: Clock,
    wallMicros: () -> Long,
    private val leaderLease: LeaderLease,
    private val limits: StoreLimits,
) : CloudActionExecutor {
    private val writer = IntentWriter(store, leaderLease, settings.slots, limits.maxTxnOps, wallMicros)

    /** Carries out the intents that this term or previous terms have committed. */
    val runner = IntentRunner(cloud, clock, wallMicros, leaderLease, writer, settings.scaleOutRetryTimeoutMicros)

    /** Open intents of previous terms, as read by [load]. */
    val openIntentsOfPreviousLeaders: List<StoredIntent>
        get() = writer.log.openIntents.filter { it.intent.id.fencingToken < leaderLease.fencingToken }

    /** Reads the intents in the store; must complete before the first decision of the term. */
    suspend fun load() = writer.load()

    /** Writes queued intents until the term ends or the coroutine is cancelled. */
    suspend fun run() = writer.run()

    override suspend fun scaleOut(request: ScaleOutRequest): ScaleOutResult {
        if (Duty.SCALE_OUT in settings.suspended) return ScaleOutResult.NoCapacity
        val action = CloudAction.ScaleOut(request)
        val result = try {
            runner.scaleOut(writer.open(action), action)
        } catch (e: LeadershipLostException) {
            // The next leader resolves the intent if it was committed.
            return ScaleOutResult.Unknown
        }
        if (result == ScaleOutResult.Unknown) throw CloudException.NoResponse("no response to scale-out ${request.requestId}")
        return result
    }

    override fun split(batch: ScaleInBatch): List<ScaleInBatch> = batch.reasons.entries
        .groupBy { it.value.duty }
        .filterKeys { it !in settings.suspended }
        .values
        .flatMap { machines -> machines.chunked(maxMachinesPerIntent(machines.map { it.key })) }
        .map { machines -> ScaleInBatch(machines.associate { it.key to it.value }) }

    /** Removes the machines of [batch], which all belong to the same duty because [split] groups them by duty. */
    override suspend fun scaleIn(batch: ScaleInBatch) {
        val names = batch.names
        val open = writer.open(CloudAction.ScaleIn(names, batch.reasons.values.first().duty))
        runner.scaleIn(names)
        runner.closeScaleIn(open, names.size)
    }

    /** Returns how many of [names] fit both the stored value of an intent and one call to the cloud. */
    private fun maxMachinesPerIntent(names: List<String>): Int {
        val longest = names.maxOf { JsonSize.of(it) + 1 }
        return ((limits.maxValueBytes - INTENT_OVERHEAD_BYTES) / longest).coerceIn(1, MAX_MACHINES_PER_SCALE_IN_CALL)
    }

    private companion object {
        /** Size of the other fields of a stored intent. */
        const val INTENT_OVERHEAD_BYTES = 300
    }
}

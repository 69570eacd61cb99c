package linemast.cloud

/** Carries out the leader's scaling decisions at the cloud. Its calls throw a [CloudException]. */
interface CloudActionExecutor {
    /** Requests machines. After [ScaleOutResult.Unknown] the caller has to repeat the same request. */
    suspend fun scaleOut(request: ScaleOutRequest): ScaleOutResult

    /** Splits [batch] into parts that [scaleIn] confirms one by one; machines that must not be removed now are left out. */
    fun split(batch: ScaleInBatch): List<ScaleInBatch>

    /** Removes the machines of one part of a [split] batch, and returns once they no longer exist. */
    suspend fun scaleIn(batch: ScaleInBatch)
}

/** Calls the cloud at once, without persisting an intent in the store first. */
class DirectCloudActionExecutor(private val cloud: Cloud) : CloudActionExecutor {
    override suspend fun scaleOut(request: ScaleOutRequest): ScaleOutResult = cloud.scaleOut(request)

    override fun split(batch: ScaleInBatch): List<ScaleInBatch> = batch.reasons.entries
        .chunked(MAX_MACHINES_PER_SCALE_IN_CALL)
        .map { machines -> ScaleInBatch(machines.associate { it.key to it.value }) }

    override suspend fun scaleIn(batch: ScaleInBatch) = cloud.scaleIn(batch.names)
}

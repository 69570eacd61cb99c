package linemast.cloud

/** Machines that are given back together, and where their return is confirmed together. */
typealias ScaleInBatch = Map<String, ScaleInReason>

/** Carries out at the cloud what the leader has decided. */
interface CloudActionExecutor {
    /** Rents machines. [ScaleOutResult.Unknown] asks for a repetition of the same request. */
    suspend fun scaleOut(request: ScaleOutRequest): ScaleOutResult

    /** [returns] in parts that are confirmed one by one. */
    fun parts(returns: ScaleInBatch): List<ScaleInBatch>

    /** Returns once the machines of one of the [parts] are surely gone. */
    suspend fun scaleIn(returns: ScaleInBatch)
}

/** Calls the cloud at once. */
class DirectCloudActionExecutor(private val cloud: Cloud) : CloudActionExecutor {
    override suspend fun scaleOut(request: ScaleOutRequest): ScaleOutResult = cloud.scaleOut(request)

    override fun parts(returns: ScaleInBatch): List<ScaleInBatch> = listOf(returns)

    override suspend fun scaleIn(returns: ScaleInBatch) = cloud.scaleIn(returns.keys.toList())
}

package linemast.cloud

/** Machines that are given back together, and where their return is confirmed together. */
typealias Returns = Map<String, ReturnReason>

/** Carries out at the cloud what the leader has decided. */
interface CloudExecutor {
    /** Rents machines. [RentResult.Unknown] asks for a repetition of the same request. */
    suspend fun rent(request: RentRequest): RentResult

    /** [returns] in parts that are confirmed one by one. */
    fun parts(returns: Returns): List<Returns>

    /** Returns once the machines of one of the [parts] are surely gone. */
    suspend fun giveBack(returns: Returns)
}

/** Calls the cloud at once. */
class DirectExecutor(private val cloud: Cloud) : CloudExecutor {
    override suspend fun rent(request: RentRequest): RentResult = cloud.rent(request)

    override fun parts(returns: Returns): List<Returns> = listOf(returns)

    override suspend fun giveBack(returns: Returns) = cloud.giveBack(returns.keys.toList())
}

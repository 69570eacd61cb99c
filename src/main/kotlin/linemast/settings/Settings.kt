package linemast.settings

import linemast.transport.Address

/**
 * The checked content of the platform's settings file; see [SettingsReader].
 *
 * @property nodeName name of this controller.
 * @property failureDomain failure domain that this controller is in.
 * @property listenAddress address at which this controller accepts connections of users, workers and health checks.
 * @property peerListenAddress address at which this controller accepts connections of the other controllers.
 * @property members the other controllers.
 * @property cloudAddress address of the cloud's API.
 * @property storeAddress address of the consensus-backed key-value store.
 * @property zones zones of the cloud.
 * @property maxClockErrorMicros maximum error of the wall clock.
 * @property teams the teams that submit jobs, with their quotas.
 * @property objectives service-level objectives.
 * @property workers heartbeat interval and timeouts of the workers.
 * @property storeLimits limits of the key-value store.
 * @property cloudLimits limits of the cloud.
 * @property processLimits limits of this process.
 */
data class Settings(
    val nodeName: String,
    val failureDomain: String,
    val listenAddress: Address,
    val peerListenAddress: Address,
    val members: List<Member>,
    val cloudAddress: Address,
    val storeAddress: Address,
    val zones: List<String>,
    val maxClockErrorMicros: Long,
    val teams: List<Team>,
    val objectives: List<Objective>,
    val workers: WorkerSettings,
    val storeLimits: StoreLimits,
    val cloudLimits: CloudLimits,
    val processLimits: ProcessLimits,
) {
    /** Number of all controllers, including this one. */
    val controllerCount: Int get() = members.size + 1
}

/** Another controller. It is called [nodeName], is in [failureDomain], and accepts connections of its peers at [peerAddress]. */
class Member(val nodeName: String, val failureDomain: String, val peerAddress: Address)

/**
 * A team with its quota. A value of 0 means none.
 *
 * @property name name by which jobs refer to the team.
 * @property guaranteedVcpus number of vcpus for which the team's jobs do not wait for jobs of other teams.
 * @property maxVcpus maximum number of vcpus that the team's tasks may use at any time.
 * @property guaranteedGpus number of GPUs for which the team's jobs do not wait for jobs of other teams.
 * @property maxGpus maximum number of GPUs that the team's tasks may use at any time.
 */
class Team(val name: String, val guaranteedVcpus: Double, val maxVcpus: Double, val guaranteedGpus: Double, val maxGpus: Double)

/**
 * The heartbeat interval and the timeouts of the workers.
 *
 * @property heartbeatIntervalMicros time between two heartbeats of a worker.
 * @property leaseMicros duration of a worker's lease. A worker that gets no response for this long ends its tasks.
 * @property gangStartTimeoutMicros time after which a task exits if its gang is still incomplete.
 * @property gangPeerTimeoutMicros time within which the tasks of a gang detect the loss of one of them.
 * @property cancellationDeadlineMicros maximum time from a confirmed cancellation until no task of the job runs any more.
 */
class WorkerSettings(
    val heartbeatIntervalMicros: Long,
    val leaseMicros: Long,
    val gangStartTimeoutMicros: Long,
    val gangPeerTimeoutMicros: Long,
    val cancellationDeadlineMicros: Long,
)

/**
 * The limits of the key-value store.
 *
 * @property rps maximum number of requests per second.
 * @property writeRps maximum number of writes per second.
 * @property valueBytes maximum size of a value.
 * @property txnOps maximum number of operations in a transaction.
 * @property next the limits that take effect at an unannounced time; null if the limits do not change.
 */
data class StoreLimits(val rps: Double, val writeRps: Double, val valueBytes: Int, val txnOps: Int, val next: StoreLimits? = null) {
    /**
     * Maximum size of a value both now and under the next limits, because a value that is written now may have to be written again
     * when the next limits are in effect.
     */
    val maxValueBytes: Int get() = minOf(valueBytes, next?.valueBytes ?: valueBytes)

    /** Maximum number of writes per second both now and under the next limits. */
    val maxWriteRps: Double get() = minOf(writeRps, next?.writeRps ?: writeRps)

    /** Maximum number of operations in a transaction both now and under the next limits. */
    val maxTxnOps: Int get() = minOf(txnOps, next?.txnOps ?: txnOps)
}

/**
 * The limits of the cloud.
 *
 * @property rps maximum number of requests per second.
 * @property listLagMicros lag of the cloud's list of machines. At times the lag is up to twice this value.
 */
class CloudLimits(val rps: Double, val listLagMicros: Long)

/**
 * The resources that the platform grants this process.
 *
 * @property cpuShare share of one CPU core.
 * @property memoryMb memory in MB.
 * @property fdLimit maximum number of open files and sockets.
 */
class ProcessLimits(val cpuShare: Double, val memoryMb: Double, val fdLimit: Int)

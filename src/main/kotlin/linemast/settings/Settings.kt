package linemast.settings

import linemast.transport.Address

/**
 * The platform's settings file, checked; see [SettingsReader]. Durations are in microseconds.
 *
 * @property nodeName name of this controller.
 * @property failureDomain failure domain of this controller.
 * @property listenAddress where users, workers and health checks connect.
 * @property peerListenAddress where the other controllers connect.
 * @property members the other controllers.
 * @property cloudAddress address of the cloud's interface.
 * @property storeAddress address of the consensus-backed key-value store.
 * @property zones zones of the cloud.
 * @property maxClockErrorMicros how far the wall clock may be off.
 * @property teams the teams that submit jobs, with their quotas.
 * @property objectives service-level objectives that the users state.
 * @property workers intervals and timeouts of workers.
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
    /** Controllers in all, this one included. */
    val controllerCount: Int get() = members.size + 1
}

/** Another controller, called [nodeName], in the failure domain [failureDomain]; it listens for its peers at [peerAddress]. */
class Member(val nodeName: String, val failureDomain: String, val peerAddress: Address)

/**
 * A team with its quota. A value of 0 means none.
 *
 * @property name name that jobs give for their team.
 * @property guaranteedVcpus vcpus that its jobs need not wait for other teams to get.
 * @property maxVcpus most vcpus that its tasks may use at any time.
 * @property guaranteedGpus GPUs that its jobs need not wait for other teams to get.
 * @property maxGpus most GPUs that its tasks may use at any time.
 */
class Team(val name: String, val guaranteedVcpus: Double, val maxVcpus: Double, val guaranteedGpus: Double, val maxGpus: Double)

/**
 * How often workers send heartbeats, and the timeouts that they keep to.
 *
 * @property heartbeatIntervalMicros between two heartbeats.
 * @property leaseMicros a worker that has had no answer for this long ends its tasks.
 * @property gangStartTimeoutMicros a task of a gang that is not complete exits after this long.
 * @property gangPeerTimeoutMicros within this time the tasks of a gang notice that one of them is gone.
 * @property cancellationDeadlineMicros within this time after a confirmed cancellation no task of the job runs any more.
 */
class WorkerSettings(
    val heartbeatIntervalMicros: Long,
    val leaseMicros: Long,
    val gangStartTimeoutMicros: Long,
    val gangPeerTimeoutMicros: Long,
    val cancellationDeadlineMicros: Long,
)

/**
 * What the key-value store takes.
 *
 * @property rps requests a second.
 * @property writeRps writes a second.
 * @property valueBytes largest value.
 * @property txnOps most operations of a transaction.
 * @property next the limits that will hold from some moment on, which is not announced; null if these stay.
 */
data class StoreLimits(val rps: Double, val writeRps: Double, val valueBytes: Int, val txnOps: Int, val next: StoreLimits? = null) {
    /** What values have to keep within: what is written now may have to be written again later. */
    val maxValueBytes: Int get() = minOf(valueBytes, next?.valueBytes ?: valueBytes)

    /** Writes a second that are taken now and later. */
    val maxWriteRps: Double get() = minOf(writeRps, next?.writeRps ?: writeRps)

    /** What a transaction has to keep within, now and later. */
    val maxTxnOps: Int get() = minOf(txnOps, next?.txnOps ?: txnOps)
}

/** What the cloud takes: [rps] requests a second. Its list of machines lags behind by [listLagMicros], at times by up to twice that. */
class CloudLimits(val rps: Double, val listLagMicros: Long)

/** What the platform allows this process: [cpuShare] of one core, [memoryMb] MB of memory, and [fdLimit] open files and sockets. */
class ProcessLimits(val cpuShare: Double, val memoryMb: Double, val fdLimit: Int)

package linemast.settings

import linemast.transport.Address

/** The platform's settings file, checked; see [SettingsReader]. */
class Settings(
    val nodeName: String,
    val domain: String,
    val listenAddress: Address,
    val peerListenAddress: Address,
    val members: List<Member>,
    val cloud: Address,
    val state: Address,
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
    val controllers: Int get() = members.size + 1
}

/** Another controller. */
class Member(val nodeName: String, val domain: String, val peerAddress: Address)

/** A team with its guarantees and limits. */
class Team(val name: String, val guaranteedVcpus: Double, val maxVcpus: Double, val guaranteedGpus: Double, val maxGpus: Double)

/** How workers report, and the durations they keep to. */
class WorkerSettings(
    val heartbeatIntervalMicros: Long,
    val leaseMicros: Long,
    val gangStartTimeoutMicros: Long,
    val gangPeerTimeoutMicros: Long,
    val cancelMicros: Long,
)

/** What the state service takes. */
class StoreLimits(
    val rps: Double,
    val writeRps: Double,
    val valueBytes: Int,
    val txnOps: Int,
    /** The limits that will hold from some moment on, which is not announced. */
    val next: StoreLimits? = null,
) {
    /** What values have to keep within: what is written now may have to be written again then. */
    val maxValueBytes: Int get() = minOf(valueBytes, next?.valueBytes ?: valueBytes)

    /** Changes a second that are taken now and later. */
    val maxWriteRps: Double get() = minOf(writeRps, next?.writeRps ?: writeRps)

    /** What a transaction has to keep within. */
    val maxTxnOps: Int get() = minOf(txnOps, next?.txnOps ?: txnOps)
}

/** What the cloud takes, and how far its list lags. */
class CloudLimits(val rps: Double, val listLagMicros: Long)

/** What the platform allows this process. */
class ProcessLimits(val cpuShare: Double, val memMb: Double, val fdLimit: Int)

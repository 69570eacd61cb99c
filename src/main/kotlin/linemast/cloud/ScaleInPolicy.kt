package linemast.cloud

import linemast.domain.Machine
import linemast.settings.Policy
import linemast.settings.WorkerSettings

/** Which machines are to be given back to the cloud, by what their workers report and by what they are still needed for. */
internal class ScaleInPolicy(private val workers: WorkerSettings, private val policy: Policy) {
    private val quietMicros = workers.heartbeatIntervalMicros * QUIET_REPORTS + QUIET_MICROS

    /** What a look at all machines shares. */
    class Situation(
        /** Whether a plan still has work for a machine. */
        val isNeeded: (Machine) -> Boolean,
        val demandCeased: Boolean,
        /** Zones from which workers report: one that is silent as a whole is more likely cut off than gone. */
        val reportingZones: Set<String>,
        val nowMicros: Long,
    )

    /** Zones from which a worker has reported lately. */
    fun reportingZones(workersByName: Map<String, Machine>, nowMicros: Long): Set<String> {
        val freshMicros = QUIET_MICROS + workers.heartbeatIntervalMicros
        return workersByName.values.filter { nowMicros - it.lastHeartbeatMicros < freshMicros }.mapTo(HashSet()) { it.zone }
    }

    /** Why [machine] is to be given back; null if it is not. */
    fun reason(machine: CloudMachine, worker: Machine?, isBaseline: Boolean, situation: Situation): ScaleInReason? {
        if (machine.status == CloudMachine.FAILED) return ScaleInReason.FAILED
        if (worker == null || worker.lastHeartbeatMicros == 0L) return neverReported(machine, situation.nowMicros)
        return faulty(machine, worker, isBaseline, situation) ?: idle(worker, isBaseline, situation)
    }

    private fun neverReported(machine: CloudMachine, nowMicros: Long): ScaleInReason? {
        val age = nowMicros - machine.createdMicros
        val limit = NEVER_BOOTS * machine.type.startupMicros + NEVER_MICROS
        return if (machine.status == CloudMachine.STARTING && age > limit) ScaleInReason.NEVER_STARTED else null
    }

    private fun faulty(machine: CloudMachine, worker: Machine, isBaseline: Boolean, situation: Situation): ScaleInReason? {
        val silentMicros = situation.nowMicros - worker.lastHeartbeatMicros
        val isReportingZone = worker.zone in situation.reportingZones
        val noticeMicros = worker.preemptionNoticeMicros
        val maxSilentMicros = if (isBaseline) BASELINE_SILENT_MICROS else SILENT_MICROS
        return when {
            worker.failedJobs.size >= FAILED_JOBS && worker.draining -> ScaleInReason.QUARANTINED
            noticeMicros != null && silentMicros >= noticeMicros - PREEMPTION_MARGIN_MICROS -> ScaleInReason.PREEMPTED
            machine.spot && silentMicros > quietMicros && isReportingZone -> ScaleInReason.PREEMPTED_WITHOUT_NOTICE
            silentMicros > maxSilentMicros && isReportingZone -> ScaleInReason.MISSING_HEARTBEAT
            isUnreachable(worker, situation.nowMicros) -> ScaleInReason.UNREACHABLE
            else -> null
        }
    }

    private fun isUnreachable(worker: Machine, nowMicros: Long): Boolean =
        worker.unacknowledgedSinceMicros > 0 && nowMicros - worker.unacknowledgedSinceMicros > SILENT_MICROS

    private fun idle(worker: Machine, isBaseline: Boolean, situation: Situation): ScaleInReason? {
        val isBusy = worker.placements.isNotEmpty() || worker.reservedFor != null
        if (isBusy || situation.nowMicros - worker.lastHeartbeatMicros > quietMicros || situation.isNeeded(worker)) return null
        val idleMicros = situation.nowMicros - worker.idleSinceMicros
        if (!isBaseline) return if (idleMicros > patienceMicros(policy.idleReturnMicros, situation)) ScaleInReason.IDLE else null
        return if (idleMicros > patienceMicros(policy.baselineIdleMicros, situation)) ScaleInReason.BASELINE_IDLE else null
    }

    /** Once demand has ceased nothing is kept for it, beyond the time in which a running task may not show in a report yet. */
    private fun patienceMicros(usualMicros: Long, situation: Situation): Long =
        if (situation.demandCeased) minOf(usualMicros, quietMicros) else usualMicros

    private companion object {
        const val NEVER_BOOTS = 4
        const val NEVER_MICROS = 20_000_000L
        const val PREEMPTION_MARGIN_MICROS = 1_000_000L
        const val QUIET_REPORTS = 2
        const val QUIET_MICROS = 2_500_000L
        const val SILENT_MICROS = 60_000_000L
        const val BASELINE_SILENT_MICROS = 150_000_000L

        /** As many different jobs have to fail on a machine until it is taken to be broken. */
        const val FAILED_JOBS = 2
    }
}

package linemast.cloud

import linemast.domain.Machine
import linemast.settings.Policy
import linemast.settings.WorkerSettings

/** Which machines are to be given back to the cloud, by what their workers report and by what they are still needed for. */
internal class ReturnRules(private val workers: WorkerSettings, private val policy: Policy) {
    private val quietMicros = workers.reportMicros * QUIET_REPORTS + QUIET_MICROS

    /** What a look at all machines shares. */
    class Situation(
        /** Whether a plan still has work for a machine. */
        val isNeeded: (Machine) -> Boolean,
        val demandCeased: Boolean,
        /** Zones from which workers report: one that is silent as a whole is more likely cut off than gone. */
        val heardZones: Set<String>,
        val nowMicros: Long,
    )

    /** Zones from which a worker has reported lately. */
    fun heardZones(workersByName: Map<String, Machine>, nowMicros: Long): Set<String> {
        val freshMicros = QUIET_MICROS + workers.reportMicros
        return workersByName.values.filter { nowMicros - it.reportedMicros < freshMicros }.mapTo(HashSet()) { it.zone }
    }

    /** Why [machine] is to be given back; null if it is not. */
    fun reason(machine: CloudMachine, worker: Machine?, isOwned: Boolean, situation: Situation): ReturnReason? {
        if (machine.status == CloudMachine.FAILED) return ReturnReason.FAILED
        if (worker == null || worker.reportedMicros == 0L) return neverReported(machine, situation.nowMicros)
        return faulty(machine, worker, isOwned, situation) ?: idle(worker, isOwned, situation)
    }

    private fun neverReported(machine: CloudMachine, nowMicros: Long): ReturnReason? {
        val age = nowMicros - machine.rentedMicros
        val limit = NEVER_BOOTS * machine.type.startupMicros + NEVER_MICROS
        return if (machine.status == CloudMachine.STARTING && age > limit) ReturnReason.NEVER_UP else null
    }

    private fun faulty(machine: CloudMachine, worker: Machine, isOwned: Boolean, situation: Situation): ReturnReason? {
        val silentMicros = situation.nowMicros - worker.reportedMicros
        val isHeardZone = worker.zone in situation.heardZones
        val noticeMicros = worker.preemptionNoticeMicros
        val mostSilentMicros = if (isOwned) OWNED_SILENT_MICROS else SILENT_MICROS
        return when {
            worker.failedJobs.size >= FAILED_JOBS && worker.draining -> ReturnReason.FAULTY
            noticeMicros != null && silentMicros >= noticeMicros - PREEMPTION_MARGIN_MICROS -> ReturnReason.PREEMPTED
            machine.spot && silentMicros > quietMicros && isHeardZone -> ReturnReason.TAKEN
            silentMicros > mostSilentMicros && isHeardZone -> ReturnReason.SILENT
            worker.deafSinceMicros > 0 && situation.nowMicros - worker.deafSinceMicros > SILENT_MICROS -> ReturnReason.DEAF
            else -> null
        }
    }

    private fun idle(worker: Machine, isOwned: Boolean, situation: Situation): ReturnReason? {
        val isBusy = worker.placements.isNotEmpty() || worker.reservedFor != null
        if (isBusy || situation.nowMicros - worker.reportedMicros > quietMicros || situation.isNeeded(worker)) return null
        val idleMicros = situation.nowMicros - worker.idleSinceMicros
        if (!isOwned) return if (idleMicros > patienceMicros(policy.idleReturnMicros, situation)) ReturnReason.IDLE else null
        return if (idleMicros > patienceMicros(policy.ownedIdleMicros, situation)) ReturnReason.OWNED_IDLE else null
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
        const val OWNED_SILENT_MICROS = 150_000_000L

        /** As many different jobs have to fail on a machine until it is taken to be broken. */
        const val FAILED_JOBS = 2
    }
}

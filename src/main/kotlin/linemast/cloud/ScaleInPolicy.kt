package linemast.cloud

import linemast.domain.Machine
import linemast.domain.MachineHealth
import linemast.settings.Policy
import linemast.settings.WorkerSettings

/** Decides which machines to scale in, based on their heartbeats and on whether they are still needed. */
internal class ScaleInPolicy(private val workers: WorkerSettings, private val policy: Policy) {
    /** Once the last heartbeat of a worker is older than this, it is not certain which tasks the worker has. */
    private val maxHeartbeatAgeMicros = workers.heartbeatIntervalMicros * MISSED_HEARTBEATS + HEARTBEAT_MARGIN_MICROS

    /** What the decisions about all machines at one time depend on. */
    class Conditions(
        /** Whether a plan still has work for a machine. */
        val isNeeded: (Machine) -> Boolean,
        /** Whether no further jobs are expected. */
        val demandCeased: Boolean,
        /** Zones with recent heartbeats. A zone without any is more likely partitioned from the network than without machines. */
        val reportingZones: Set<String>,
        val nowMicros: Long,
    )

    /** Returns the zones from which at least one worker has sent a heartbeat recently. */
    fun reportingZones(workersByName: Map<String, Machine>, nowMicros: Long): Set<String> {
        val recentMicros = HEARTBEAT_MARGIN_MICROS + workers.heartbeatIntervalMicros
        return workersByName.values.filter { nowMicros - it.lastHeartbeatMicros < recentMicros }.mapTo(HashSet()) { it.zone }
    }

    /**
     * Returns the reason to scale in [machine]; null if it is to be kept. [worker] is null until the worker on [machine] has sent its
     * first heartbeat.
     */
    fun reason(machine: CloudMachine, worker: Machine?, isBaseline: Boolean, conditions: Conditions): ScaleInReason? {
        if (machine.status == CloudMachine.FAILED) return ScaleInReason.FAILED
        if (worker == null || worker.lastHeartbeatMicros == NO_HEARTBEAT_MICROS) return startupFailureReason(machine, conditions.nowMicros)
        return failureReason(machine, worker, isBaseline, conditions) ?: idleReason(worker, isBaseline, conditions)
    }

    private fun startupFailureReason(machine: CloudMachine, nowMicros: Long): ScaleInReason? {
        val ageMicros = nowMicros - machine.createdMicros
        val maxAgeMicros = MAX_STARTUP_FACTOR * machine.type.startupMicros + STARTUP_MARGIN_MICROS
        val isOverdue = machine.status == CloudMachine.STARTING && ageMicros > maxAgeMicros
        return if (isOverdue) ScaleInReason.NEVER_STARTED else null
    }

    private fun failureReason(machine: CloudMachine, worker: Machine, isBaseline: Boolean, conditions: Conditions): ScaleInReason? {
        val heartbeatAgeMicros = conditions.nowMicros - worker.lastHeartbeatMicros
        val isReportingZone = worker.zone in conditions.reportingZones
        val noticeMicros = worker.preemptionNoticeMicros
        val missingMicros = if (isBaseline) BASELINE_MISSING_HEARTBEAT_MICROS else MISSING_HEARTBEAT_MICROS
        return when {
            isFaulty(worker, isBaseline) -> ScaleInReason.QUARANTINED
            noticeMicros != null && heartbeatAgeMicros >= noticeMicros - PREEMPTION_MARGIN_MICROS -> ScaleInReason.PREEMPTED
            machine.spot && heartbeatAgeMicros > maxHeartbeatAgeMicros && isReportingZone -> ScaleInReason.PREEMPTED_WITHOUT_NOTICE
            heartbeatAgeMicros > missingMicros && isReportingZone -> ScaleInReason.MISSING_HEARTBEAT
            isUnreachable(worker, conditions.nowMicros) -> ScaleInReason.UNREACHABLE
            else -> null
        }
    }

    /**
     * Whether [worker] is quarantined once more after its trials, because of more than one job, and holds no task whose completion could
     * show that it works.
     */
    private fun isFaulty(worker: Machine, isBaseline: Boolean): Boolean {
        val maxQuarantines = if (isBaseline) MAX_BASELINE_QUARANTINES else MAX_QUARANTINES
        val isQuarantined = worker.health.state == MachineHealth.State.QUARANTINED
        val isFailingRepeatedly = worker.health.quarantineCount > maxQuarantines && worker.health.failedJobCount > 1
        return isQuarantined && isFailingRepeatedly && worker.placements.isEmpty()
    }

    private fun isUnreachable(worker: Machine, nowMicros: Long): Boolean =
        worker.unacknowledgedSinceMicros > 0 && nowMicros - worker.unacknowledgedSinceMicros > MISSING_HEARTBEAT_MICROS

    private fun idleReason(worker: Machine, isBaseline: Boolean, conditions: Conditions): ScaleInReason? {
        val isBusy = worker.placements.isNotEmpty() || worker.reservedFor != null
        val isOutdated = conditions.nowMicros - worker.lastHeartbeatMicros > maxHeartbeatAgeMicros
        if (isBusy || isOutdated || conditions.isNeeded(worker)) return null
        val idleMicros = conditions.nowMicros - worker.idleSinceMicros
        val usualMicros = if (isBaseline) policy.baselineIdleScaleInMicros else policy.idleScaleInMicros
        if (idleMicros <= maxIdleMicros(usualMicros, conditions)) return null
        return if (isBaseline) ScaleInReason.BASELINE_IDLE else ScaleInReason.IDLE
    }

    /**
     * Returns how long a machine may stay idle. Once demand has ceased, that is at most [maxHeartbeatAgeMicros], for baseline machines
     * too: a running task may be missing from heartbeats for that long.
     */
    private fun maxIdleMicros(usualMicros: Long, conditions: Conditions): Long =
        if (conditions.demandCeased) minOf(usualMicros, maxHeartbeatAgeMicros) else usualMicros

    private companion object {
        /** Value of [Machine.lastHeartbeatMicros] for a machine whose worker has sent no heartbeat to this leader. */
        const val NO_HEARTBEAT_MICROS = 0L
        const val MAX_STARTUP_FACTOR = 4
        const val STARTUP_MARGIN_MICROS = 20_000_000L
        const val PREEMPTION_MARGIN_MICROS = 1_000_000L
        const val MISSED_HEARTBEATS = 2
        const val HEARTBEAT_MARGIN_MICROS = 2_500_000L
        const val MISSING_HEARTBEAT_MICROS = 60_000_000L

        /** Longer than for other machines, because baseline machines are hard to replace. */
        const val BASELINE_MISSING_HEARTBEAT_MICROS = 150_000_000L

        /** A machine counts as faulty if it is quarantined once more than this with no task completed in between. */
        const val MAX_QUARANTINES = 1

        /** More than for other machines, because baseline machines are hard to replace. */
        const val MAX_BASELINE_QUARANTINES = 3
    }
}

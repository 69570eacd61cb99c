package linemast.upgrade

import kotlinx.coroutines.delay
import linemast.serialization.Fields
import linemast.settings.AdmissionSettings
import linemast.settings.DutySettings
import linemast.settings.Features
import linemast.settings.RecoverySettings
import linemast.simulation.SimJob
import linemast.simulation.SimWorld
import linemast.simulation.Violation
import linemast.simulation.simulate
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/**
 * Guards against an upgrade that loses jobs or repeats tasks: controllers of this version start with the store of a previous version, all
 * of whose controllers stopped while jobs were unfinished. A previous version is named by its commit.
 */
class PreviousVersionUpgradeTest {
    private val allFeatures = Features(DutySettings(), AdmissionSettings(), RecoverySettings())
    private val arrayJob = SimJob("req-000001", "north", 12, 1.0, false, false, false, true, 5_000_000, staggerMicros = 3_000_000)
    private val gangJob = SimJob("req-000002", "south", 2, 4.0, true, true, false, true, 90_000_000)
    private val dependentJob =
        SimJob("req-000003", "north", 4, 1.0, false, false, true, true, 5_000_000, dependencies = listOf(arrayJob.id, gangJob.id))
    private val cancelledJob =
        SimJob("req-000004", "south", 3, 1.0, false, false, false, true, 100_000_000).also { it.cancelRequested = true }
    private val doneJob = SimJob("req-000005", "south", 3, 1.0, false, false, false, true, 1_000_000)

    /** Simulates an upgrade: stops all controllers, fills the store with the [records] of a previous version and starts controllers. */
    private fun startOnRecords(records: List<StoredRecord>): SimWorld = simulate(seed = 502, features = allFeatures) { world ->
        repeat(3) { world.killController(it) }
        delay(30_000)
        world.store.replaceContents(records.associate { it.key to it.bytes.toByteArray() })
        runUnknownJob(world)
        repeat(COMPLETED_ARRAY_TASKS) { world.completedTasks += "${arrayJob.id}/$it" }
        repeat(doneJob.taskCount) { world.completedTasks += "${doneJob.id}/$it" }
        repeat(3) { world.startController(it) }
        listOf(arrayJob, gangJob, dependentJob, cancelledJob, doneJob).forEach { world.users.submit(it, null) }
        delay(200_000)
    }

    /** Runs a job that has no record in the store, so that the record of the reconciliation lists such a job. */
    private fun runUnknownJob(world: SimWorld) {
        val unknownJob = SimJob("req-990000", "north", 1, 1.0, false, false, false, true, 300_000_000)
        world.jobs[unknownJob.id] = unknownJob
        world.workers.values.first().startUnrecordedTask(unknownJob)
    }

    @ParameterizedTest
    @MethodSource("versions")
    fun `jobs that the previous version accepted reach their final status, and completed tasks are not started again`(version: String) {
        val world = startOnRecords(StoredRecord.snapshotOf(version))
        assertEquals(emptyList<Violation>(), world.violations)
        assertEquals(
            listOf("done", "done", "done", "withdrawn", "done"),
            listOf(arrayJob, gangJob, dependentJob, cancelledJob, doneJob).map { it.acknowledgedStatus },
        )
        assertEquals(arrayJob.taskCount - COMPLETED_ARRAY_TASKS + gangJob.taskCount + dependentJob.taskCount, world.startCount)
        assertEquals(emptySet<String>(), world.store.keysUnder("o/") + world.store.keysUnder("w/"))
    }

    @ParameterizedTest
    @MethodSource("versions")
    fun `the fencing token is the stored one plus one, and the baseline fleet and the machine types stay as stored`(version: String) {
        val world = startOnRecords(StoredRecord.snapshotOf(version))
        val previousToken = stored(version, "helm").long("n")
        assertEquals(previousToken + 1, world.store.valueOf("helm")?.long("n"))
        assertEquals(previousToken + 1, world.store.valueOf("leader")?.long("helm"))
        assertEquals(stored(version, "standing/0").map, world.store.valueOf("standing/0")?.map)
        assertEquals(stored(version, "types").map, world.store.valueOf("types")?.map)
    }

    @ParameterizedTest
    @MethodSource("versions")
    fun `machines in the stored baseline list belong to the baseline fleet, also without a stored machine registry`(version: String) {
        val world = startOnRecords(StoredRecord.snapshotOf(version).filter { it.kind != "fleet/" })
        val baseline = stored(version, "standing/0").textsOrNull("rigs").orEmpty().toSet()
        val machines = world.store.keysUnder("fleet/").flatMap { checkNotNull(world.store.valueOf(it)).children("rigs") }
        assertEquals(baseline, machines.filter { it.flag("owned") }.map { it.text("rig") }.toSet())
    }

    @ParameterizedTest
    @MethodSource("versions")
    fun `records that the leader writes have the same fields as those of the previous version`(version: String) {
        val world = startOnRecords(StoredRecord.snapshotOf(version))
        for (key in listOf("leader", "helm", "plan", "recovery")) {
            val written = world.store.history.filter { it.key == key }.mapNotNull { it.value?.map }
            assertTrue(written.isNotEmpty(), "the leader must write $key")
            val previous = StoredRecord.recordsOf(version).filter { it.key == key }.map { it.fields.map }
            assertEquals(previous.flatMap { it.keys }.toSet(), written.flatMap { it.keys }.toSet(), key)
            assertEquals(emptySet<String>(), written.flatMap(::fieldNames).toSet() - previous.flatMap(::fieldNames).toSet(), key)
        }
    }

    private fun stored(version: String, key: String): Fields = StoredRecord.snapshotOf(version).single { it.key == key }.fields

    companion object {
        /** Number of tasks of the array that each snapshot holds as completed; they are the first ones. */
        private const val COMPLETED_ARRAY_TASKS = 6

        @JvmStatic
        fun versions(): List<String> = StoredRecord.VERSIONS
    }
}

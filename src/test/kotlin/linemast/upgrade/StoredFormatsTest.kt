package linemast.upgrade

import linemast.domain.JobOutcome
import linemast.domain.JobProgress
import linemast.domain.JobRecord
import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.domain.OutcomeRecord
import linemast.jobs.JobKeys
import linemast.jobs.JobRecordCodec
import linemast.jobs.JobSpecCodec
import linemast.jobs.OutcomeRecordCodec
import linemast.peers.PeerStatus
import linemast.peers.PeerStatusCodec
import linemast.serialization.Cbor
import linemast.serialization.Fields
import linemast.store.Entry
import linemast.testSpec
import linemast.workers.MachineRegistry
import okio.Buffer
import okio.ByteString.Companion.decodeHex
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * The records and frames of the version before pipelines, written out: what it wrote has to be read, and what is written now
 * has to pass the readers that it has, which are fixed here. Both versions serve side by side during an upgrade.
 */
class StoredFormatsTest {
    private val oldJob = mapOf(
        "name_id" to "req-000412", "lane" to "train", "crew" to "vision", "shape" to "gang", "urgency" to "high", "pieces" to 16L,
        "vcpus" to 8.0, "gpus" to 1.0, "memory_gb" to 64.0, "bundle" to "img-07", "pull_gb" to 6.2, "builds" to listOf("g8"),
        "same_place" to true, "apart" to false, "loaners" to true, "guess_s" to 240.0, "mark_every_s" to 30.0, "mark_s" to 4.0,
        "due_s" to 900.0,
    )
    private val oldOpen = mapOf("job" to oldJob, "at_us" to 1_700_000_000_000_000L, "opened" to true, "withdrawn" to false)
    private val types = listOf(MachineType("g8", 96.0, 8.0, 768.0, 200.0, 1.0, 12.0, 4.5, 45_000_000, listOf("a", "b")))

    private fun stored(value: Map<String, Any?>) = Cbor.decodeMap(Cbor.encode(value))

    @Test
    fun `records of jobs are read and rewritten without a loss`() {
        val record = JobRecordCodec.decode(stored(oldOpen))
        assertEquals(oldOpen, stored(JobRecordCodec.encode(record)).map)
        assertEquals(
            oldOpen + ("withdrawn" to true),
            stored(JobRecordCodec.encode(record.with(cancelled = true).withKnownMachineTypes(types))).map,
        )
        assertEquals(emptyList<String>(), record.spec.dependencies)
        assertNull(record.releasedWallMicros)
        for (outcome in listOf("open", "done", "withdrawn")) {
            val old = mapOf("verdict" to outcome, "pieces" to 16L)
            assertEquals(old, stored(OutcomeRecordCodec.encode(OutcomeRecordCodec.decode(stored(old)))).map)
        }
    }

    /** It asks for these fields, ignores others, and drops them when it rewrites. */
    @Test
    fun `what is written now passes the readers of the revision before`() {
        val waiting = JobRecord(testSpec("req-2", "awaits" to listOf("req-1")), 5, activated = false, cancelled = false)
        val released = stored(JobRecordCodec.encode(waiting.released(9)))
        assertTrue(released.child("job").map.keys.containsAll(oldJob.keys - setOf("builds", "due_s")))
        assertFalse(released.child("job").has("awaits"), "a job that may start awaits nothing: nothing is lost when it is rewritten")
        assertEquals(listOf(5L, true, false), listOf(released.long("at_us"), released.flag("opened"), released.flag("withdrawn")))
        JobSpecCodec.decode(released.child("job"))
        val rewritten = JobRecordCodec.decode(stored(released.map - "from_us"))
        assertEquals(rewritten.acceptedWallMicros, rewritten.releasedWallMicros ?: 5L)
        val outcome = stored(OutcomeRecordCodec.encode(OutcomeRecord(JobOutcome.OPEN, 3, listOf("req-1"))))
        assertEquals("open" to 3L, outcome.text("verdict") to outcome.long("pieces"))
    }

    /** Written out as the version that first had pipelines wrote them; it and later ones serve side by side. */
    @Test
    fun `records of the first revision with dependencies are read and rewritten without a loss`() {
        val waiting = mapOf(
            "job" to oldJob + ("awaits" to listOf("req-000398", "req-000405")),
            "at_us" to 1_700_000_000_000_000L,
            "opened" to false,
            "withdrawn" to false,
        )
        val record = JobRecordCodec.decode(stored(waiting))
        assertEquals(listOf("req-000398", "req-000405"), record.spec.dependencies)
        assertEquals(waiting, stored(JobRecordCodec.encode(record)).map)
        val released = oldOpen + ("from_us" to 1_700_000_050_000_000L)
        assertEquals(
            released,
            stored(JobRecordCodec.encode(record.released(1_700_000_050_000_000L))).map,
            "what a release puts in place of it",
        )
        assertEquals(released, stored(JobRecordCodec.encode(JobRecordCodec.decode(stored(released)))).map)
        assertEquals(
            released + ("withdrawn" to true),
            stored(JobRecordCodec.encode(JobRecordCodec.decode(stored(released)).with(cancelled = true))).map,
        )
        val outcome = mapOf("verdict" to "open", "pieces" to 16L, "awaits" to listOf("req-000398", "req-000405"))
        assertEquals(outcome, stored(OutcomeRecordCodec.encode(OutcomeRecordCodec.decode(stored(outcome)))).map)
        assertEquals(
            listOf("j/req-1", "o/req-1", "w/req-1", "d/req-1/0"),
            listOf(JobKeys.outcome("req-1"), JobKeys.open("req-1"), JobKeys.blocked("req-1"), JobKeys.completedTasksPart("req-1", 0)),
        )
    }

    @Test
    fun `the record of machines keeps its keys and fields`() {
        val old =
            mapOf("rigs" to listOf(mapOf("rig" to "host-000001", "build" to "g8", "yard" to "a", "loaners" to false, "owned" to true)))
        val record = MachineRegistry(2_048)
        val machine = record.read(listOf(Entry("fleet/0", stored(old), 7)), types.associateBy { it.name }).single()
        assertEquals(listOf("host-000001", "g8", "a"), listOf(machine.name, machine.type.name, machine.zone))
        assertTrue(machine.isBaseline)
        assertEquals(7L, record.revisionOf("fleet/0"))
        val written = record.register(List(80) { Machine("host-%06d".format(it + 2), types.single(), "b", true) })
        for ((at, key) in written.keys.sorted().withIndex()) {
            assertEquals("fleet/$at", key, "counted from 0 without a gap")
            for (entry in Fields(written.getValue(key)).children("rigs")) {
                listOf("rig", "build", "yard").forEach(entry::text)
                listOf("loaners", "owned").forEach(entry::flag)
            }
        }
    }

    /** It refuses frames of another version, and bytes behind the last job. */
    @Test
    fun `frames between controllers are the same to the byte`() {
        val status = PeerStatus(
            "mast-1",
            7,
            isLeader = true,
            reachesStore = true,
            receivesHeartbeats = false,
            mapOf(
                "req-1" to JobProgress(2, 3),
            ),
        )
        val bytes = "0100066d6173742d3100000000000000070300010005" + "7265712d310000000200000003"
        assertEquals(bytes, PeerStatusCodec.encode(status).readByteString().hex())
        val read = PeerStatusCodec.decode(Buffer().write(bytes.decodeHex()))
        assertEquals(
            listOf("mast-1", 7L, true, true, false),
            listOf(read.nodeName, read.fencingToken, read.isLeader, read.reachesStore, read.receivesHeartbeats),
        )
        assertEquals(2 to 3, read.progress.getValue("req-1").let { it.completed to it.running })
    }
}

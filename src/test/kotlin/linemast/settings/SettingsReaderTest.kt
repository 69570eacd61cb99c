package linemast.settings

import linemast.serialization.MalformedException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against settings files that are misread, or rejected without the name of the invalid field. */
class SettingsReaderTest {
    private val validFile = """
        node_name = "mast-0"
        domain = "zone"
        serve_on = "10.0.0.1:8080"
        peer_listen = "10.0.0.1:8081"
        new_field = 1
        [[members]]
        node_name = "mast-1"
        domain = "zone"
        peer_addr = "10.0.0.2:8081"
        [external]
        cloud = "10.2.0.2:8443"
        state = "10.2.0.1:2379"
        [settings]
        zones = ["zone"]
        clock_off_ms = 250.0
        [[settings.teams]]
        name = "team"
        cpus = 4
        cpus_max = 8.0
        gpus = 0.0
        gpus_max = 0.0
        [[settings.objectives]]
        kind = "wait"
        class = "lane"
        within_s = 12.0
        share = 0.78
        [settings.workers]
        report_s = 1.0
        lease_s = 11.0
        gang_wait_s = 45.0
        gang_peer_s = 4.0
        cancel_s = 36.0
        [settings.state]
        rps = 100.0
        write_rps = 30.0
        value_kb = 16.0
        txn_ops = 16
        [settings.cloud]
        rps = 6.0
        list_lag_s = 6.0
        [settings.limits]
        cpu_share = 0.085
        mem_mb = 153.0
        fd_limit = 600
    """.trimIndent()

    @Test
    fun `a valid settings file is read, and unknown fields are ignored`() {
        val settings = SettingsReader.parse(validFile)
        assertEquals(2, settings.controllerCount)
        assertEquals(11_000_000L, settings.workers.leaseMicros)
        assertEquals(16 * 1024, settings.storeLimits.valueBytes)
        assertEquals(Objective.Wait("lane", 12_000_000L), settings.objectives.single())
    }

    @Test
    fun `objectives are read by kind, and an objective without effect keeps only its job class`() {
        fun read(objective: String) = SettingsReader.parse(
            validFile.replace("kind = \"wait\"\nclass = \"lane\"\nwithin_s = 12.0\nshare = 0.78", objective),
        ).objectives.single()
        assertEquals(Objective.Wait("lane", 300_000), read("kind = \"wait\"\nclass = \"lane\"\nwithin_ms = 300"))
        assertEquals(Objective.Finished("lane", 180_000_000), read("kind = \"finished\"\nclass = \"lane\"\nwithin_s = 180.0"))
        assertEquals(Objective.Deadline("lane", 1.75), read("kind = \"deadline\"\nclass = \"lane\"\ntimes = 1.75"))
        assertEquals(Objective.Deadline("lane", 1.0), read("kind = \"deadline\"\nclass = \"lane\""))
        assertEquals(Objective.Guarantee(null, 5_000_000), read("kind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.85"))
        assertEquals(Objective.Ignored("lane"), read("kind = \"throughput\"\nclass = \"lane\"\nwithin_s = 5.0"))
        assertEquals(Objective.Ignored("lane"), read("kind = \"wait\"\nclass = \"lane\""))
        for (malformed in listOf("share = \"most\"", "times = true", "within_s = \"soon\"")) {
            val error = assertThrows(MalformedException::class.java) { read("kind = \"throughput\"\n$malformed") }
            assertTrue(error.message.orEmpty().startsWith("settings.objectives[0]."), "${error.message}")
        }
    }

    @Test
    fun `the next limits of the store are optional, and limits that are absent from them do not change`() {
        val without = SettingsReader.parse(validFile).storeLimits
        assertEquals(listOf(16 * 1024, 16), listOf(without.maxValueBytes, without.maxTxnOps))
        val with = SettingsReader.parse(
            validFile.replace("[settings.cloud]", "[settings.state.next]\nwrite_rps = 21.0\nvalue_kb = 2.0\n[settings.cloud]"),
        )
        val limits = with.storeLimits
        assertEquals(listOf(2_048, 16), listOf(limits.maxValueBytes, limits.maxTxnOps))
        assertEquals(listOf(100.0, 21.0), listOf(limits.next?.rps, limits.next?.writeRps))
        for (malformed in listOf("value_kb = 1.0", "txn_ops = 1", "write_rps = 0", "rps = \"many\"")) {
            assertThrows(MalformedException::class.java) {
                SettingsReader.parse(validFile.replace("[settings.cloud]", "[settings.state.next]\n$malformed\n[settings.cloud]"))
            }
        }
    }

    @Test
    fun `the error for a missing or malformed field names the field`() {
        val fieldsByLine = mapOf(
            "node_name = \"mast-0\"" to "node_name",
            "serve_on = \"10.0.0.1:8080\"" to "serve_on",
            "cloud = \"10.2.0.2:8443\"" to "external.cloud",
            "rps = 100.0" to "settings.state.rps",
            "lease_s = 11.0" to "settings.workers.lease_s",
            "fd_limit = 600" to "settings.limits.fd_limit",
            "cpus = 4" to "settings.teams[0].cpus",
        )
        for ((line, field) in fieldsByLine) {
            val name = line.substringBefore(' ')
            for (malformed in listOf("", "$name = true", "$name = -1")) {
                val error =
                    assertThrows(MalformedException::class.java, {
                        SettingsReader.parse(validFile.replace(line, malformed))
                    }, "$line -> $malformed")
                assertTrue(error.message.orEmpty().startsWith(field), "${error.message} should name $field")
            }
        }
        assertThrows(MalformedException::class.java) { SettingsReader.parse("a = [") }
        assertThrows(MalformedException::class.java) { SettingsReader.parse(validFile.replace("cancel_s = 36.0", "cancel_s = 10.0")) }
    }
}

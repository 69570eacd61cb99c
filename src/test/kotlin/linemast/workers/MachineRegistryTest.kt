package linemast.workers

import linemast.domain.Machine
import linemast.domain.MachineType
import linemast.serialization.Fields
import linemast.serialization.JsonSize
import linemast.store.Entry
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

class MachineRegistryTest {
    private val type = MachineType("mare-32", 32.0, 0.0, 64.0, 10.0, 1.0, 1.0, 0.3, 30_000_000, listOf("bucuresti"))
    private val types = mapOf(type.name to type)

    /** The store, as far as the registry goes. */
    private val stored = sortedMapOf<String, Map<String, Any?>>()

    private fun machine(number: Int) = Machine("host-%06d".format(number), type, "bucuresti", number % 3 == 0)

    private fun readNames(registry: MachineRegistry) = registry.read(
        stored.map { (key, value) ->
            Entry(key, Fields(value), 1)
        },
        types,
    ).map { it.name }

    @ParameterizedTest
    @ValueSource(ints = [5])
    fun `whatever changes, values keep within the limit and nothing is lost between two writes`(seed: Int) {
        val random = Random(seed)
        for (limit in listOf(1_536, 2_048, 16_384)) {
            stored.clear()
            val registry = MachineRegistry(limit)
            val expected = LinkedHashSet<String>()
            repeat(200) {
                val removed = if (random.nextInt(3) == 0) expected.shuffled(random).take(random.nextInt(30)) else emptyList()
                val added = List(if (removed.isEmpty()) random.nextInt(25) else 0) { machine(random.nextInt(400)) }
                expected -= removed.toSet()
                val writes = if (removed.isEmpty()) registry.register(added) else registry.unregister(removed)
                for ((key, value) in writes) {
                    stored[key] = value
                    assertTrue(JsonSize.of(value) <= limit, "$key is too large")
                    assertTrue(readNames(MachineRegistry(limit)).containsAll(expected))
                }
                added.forEach { expected += it.name }
                assertEquals(expected, readNames(MachineRegistry(limit)).toSet())
            }
        }
    }

    /** As the version before pipelines wrote it: 60 machines in a value, under numbers without a gap. */
    @Test
    fun `a chunk that was stored larger is read, and split when it is written again`() {
        fun machineEntry(number: Int) = mapOf(
            "rig" to "host-%06d".format(number),
            "build" to "mare-32",
            "yard" to "bucuresti",
            "loaners" to false,
            "owned" to true,
        )
        stored["fleet/0"] = mapOf("rigs" to List(60) { machineEntry(it) })
        stored["fleet/1"] = mapOf("rigs" to List(7) { machineEntry(60 + it) })
        val registry = MachineRegistry(2_048)
        val all = readNames(registry)
        assertEquals(67, all.size)
        for ((key, value) in registry.unregister(listOf("host-000003"))) {
            stored[key] = value
            assertTrue(readNames(MachineRegistry(2_048)).containsAll(all - "host-000003"))
        }
        assertTrue(stored.values.all { JsonSize.of(it) <= 2_048 })
        assertEquals(stored.keys.toList(), stored.keys.indices.map { "fleet/$it" }, "numbers without a gap, as that version counts them")
        assertEquals((all - "host-000003").toSet(), readNames(MachineRegistry(2_048)).toSet())
    }

    @Test
    fun `a registry just at, under and over the limit of a value stays within it`() {
        val size = JsonSize.of(MachineRegistry(16_384).register(List(10) { machine(it) }).getValue("fleet/0"))
        assertEquals(setOf("fleet/0"), MachineRegistry(size + 1).register(List(10) { machine(it) }).keys)
        assertEquals(setOf("fleet/0", "fleet/1"), MachineRegistry(size - 1).register(List(10) { machine(it) }).keys)
        val exact = MachineRegistry(size).register(List(10) { machine(it) })
        assertTrue(exact.values.all { JsonSize.of(it) <= size })
    }
}

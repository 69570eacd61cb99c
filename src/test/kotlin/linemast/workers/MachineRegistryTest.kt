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

/**
 * Guards against the loss of registered machines. Changes are written chunk by chunk, so a write that fails leaves only some of the
 * changed chunks in the store; the chunks must hold every registered machine even then, and each must fit a stored value.
 */
class MachineRegistryTest {
    private val type = MachineType("mare-32", 32.0, 0.0, 64.0, 10.0, 1.0, 1.0, 0.3, 30_000_000, listOf("bucuresti"))
    private val types = mapOf(type.name to type)

    /** The registry's values in the store, by key. */
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
    fun `values stay within the limit and no machine is lost between two writes, whatever changes`(seed: Int) {
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
                    assertTrue(JsonSize.of(value) <= limit, "the value of $key is larger than the limit")
                    assertTrue(readNames(MachineRegistry(limit)).containsAll(expected))
                }
                added.forEach { expected += it.name }
                assertEquals(expected, readNames(MachineRegistry(limit)).toSet())
            }
        }
    }

    /** The version before pipelines wrote 60 machines to a value, with chunks numbered without a gap. */
    @Test
    fun `a chunk that is stored above the limit is read, and is split when it is written again`() {
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
        assertEquals(stored.keys.toList(), stored.keys.indices.map { "fleet/$it" }, "chunks are numbered without a gap, as before")
        assertEquals((all - "host-000003").toSet(), readNames(MachineRegistry(2_048)).toSet())
    }

    @Test
    fun `a registry stays within the limit of a value at, just below and just above its size`() {
        val size = JsonSize.of(MachineRegistry(16_384).register(List(10) { machine(it) }).getValue("fleet/0"))
        assertEquals(setOf("fleet/0"), MachineRegistry(size + 1).register(List(10) { machine(it) }).keys)
        assertEquals(setOf("fleet/0", "fleet/1"), MachineRegistry(size - 1).register(List(10) { machine(it) }).keys)
        val exact = MachineRegistry(size).register(List(10) { machine(it) })
        assertTrue(exact.values.all { JsonSize.of(it) <= size })
    }
}

package linemast.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import linemast.domain.MachineType
import linemast.settings.Features
import linemast.settings.Policy
import linemast.settings.Settings
import linemast.settings.SettingsReader
import linemast.time.Clock
import kotlin.time.Duration.Companion.minutes

/** Duration of the workers' leases; also the controllers' setting unless a test gives another one. */
internal const val LEASE_SECONDS = 8.0

private val TYPES = listOf(
    MachineType("small", 4.0, 0.0, 32.0, 10.0, 1.0, 0.4, 0.1, 10_000_000, listOf("a", "b")),
    MachineType("large", 8.0, 0.0, 64.0, 10.0, 1.0, 0.8, 0.2, 10_000_000, listOf("a", "b")),
)

/**
 * Runs [scenario] on a [SimWorld] in virtual time. [scale] multiplies the size of the fleet and the limits of the teams;
 * [configure] runs before the controllers start.
 */
internal fun simulate(
    seed: Int,
    controllersLeaseSeconds: Double = LEASE_SECONDS,
    scale: Int = 1,
    baselineMachines: Int = 6 * scale,
    features: Features = Features(),
    policy: Policy = Policy(),
    objectives: String = "",
    configure: (SimWorld) -> Unit = {},
    scenario: suspend TestScope.(SimWorld) -> Unit,
): SimWorld {
    lateinit var world: SimWorld
    runTest(timeout = 5.minutes) {
        val clock = Clock { testScheduler.currentTime * 1_000 + 1 }
        world = SimWorld(
            backgroundScope,
            clock,
            seed,
            { settings(it, controllersLeaseSeconds, scale, objectives) },
            TYPES,
            (LEASE_SECONDS * 1e6).toLong(),
            baselineMachines = baselineMachines,
            maxMachines = 12 * scale,
            features = features,
            policy = policy,
        )
        configure(world)
        world.start()
        scenario(world)
    }
    return world
}

/** Returns the index of the leader by its record in the store, or -1 if there is none. */
internal fun leaderOf(world: SimWorld): Int = world.store.valueOf("leader")?.text("node")?.removePrefix("mast-")?.toInt() ?: -1

/** Kills [controller] and starts it again after [afterMillis]. */
internal suspend fun restartController(world: SimWorld, controller: Int, afterMillis: Long) {
    world.killController(controller)
    delay(afterMillis)
    world.startController(controller)
}

/**
 * Returns the settings of the other controllers. Without other members a leader assumes that no previous leader can be within its grace
 * period.
 */
private fun otherMembers(name: String) = (0..2).map { "mast-$it" }.filter { it != name }
    .joinToString { """{ node_name = "$it", domain = "a", peer_addr = "10.0.0.1:9" }""" }

private fun settings(name: String, leaseSeconds: Double, scale: Int, objectives: String): Settings = SettingsReader.parse(
    """
    node_name = "$name"
    domain = "a"
    serve_on = "10.0.0.1:8080"
    peer_listen = "10.0.0.1:8081"
    members = [${otherMembers(name)}]
    [external]
    cloud = "10.2.0.2:1"
    state = "10.2.0.1:1"
    [settings]
    zones = ["a", "b"]
    clock_off_ms = 0.0
    objectives = [$objectives]
    teams = [
      { name = "north", cpus = ${16 * scale}.0, cpus_max = ${24 * scale}.0, gpus = 0.0, gpus_max = 0.0 },
      { name = "south", cpus = ${8 * scale}.0, cpus_max = ${16 * scale}.0, gpus = 0.0, gpus_max = 0.0 },
    ]
    [settings.workers]
    report_s = 1.0
    lease_s = $leaseSeconds
    gang_wait_s = 10.0
    gang_peer_s = 2.0
    cancel_s = 30.0
    [settings.state]
    rps = 100.0
    write_rps = 50.0
    value_kb = 8.0
    txn_ops = 16
    next = { value_kb = 1.5, txn_ops = 5, write_rps = 40.0 }
    [settings.cloud]
    rps = 5.0
    list_lag_s = 5.0
    [settings.limits]
    cpu_share = 0.1
    mem_mb = 150.0
    fd_limit = 500
    """.trimIndent(),
)

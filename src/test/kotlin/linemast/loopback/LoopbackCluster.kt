package linemast.loopback

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.domain.MachineType
import linemast.settings.Settings
import linemast.settings.SettingsReader
import linemast.simulation.SimWorld
import linemast.time.SteadyClock
import linemast.transport.Address
import linemast.transport.EventLoop
import linemast.transport.HttpClient
import linemast.transport.HttpResponse
import linemast.transport.HttpServer
import linemast.transport.NoResponseException
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path

/** Parameters of a scenario on loopback. */
internal class LoopbackOptions(
    val seed: Int,
    /** Command line options of all controllers, besides those of the settings and the policy. */
    val arguments: List<String>,
    val policy: String,
    val baselineMachines: Int,
    val maxMachines: Int,
    val requestsPerSecond: Double = 3_000.0,
    val writesPerSecond: Double = 1_000.0,
    val objectives: String = "",
    /** Returns the jar that a controller runs. */
    val jarOf: (index: Int) -> String = { "target/linemast.jar" },
)

/**
 * Runs three controllers as separate processes on loopback and in real time. Everything else is simulated in the process of the test: the
 * key-value store, the cloud, the workers and the users.
 */
internal class LoopbackCluster(private val options: LoopbackOptions) {
    private class Ports(val http: Address, val peers: Address, val store: Address, val cloud: Address)

    private val directory: Path = Files.createTempDirectory("loopback")
    private val ports = List(CONTROLLER_COUNT) { Ports(freeAddress(), freeAddress(), freeAddress(), freeAddress()) }
    private val processes = arrayOfNulls<Process>(CONTROLLER_COUNT)
    lateinit var world: SimWorld
        private set

    /** Starts the cluster, runs [scenario] and ends all controller processes. */
    fun runScenario(scenario: suspend CoroutineScope.(LoopbackCluster) -> Unit) {
        val loop = EventLoop()
        try {
            loop.run {
                world = SimWorld(
                    this,
                    SteadyClock,
                    options.seed,
                    ::settings,
                    TYPES,
                    LEASE_MICROS,
                    baselineMachines = options.baselineMachines,
                    maxMachines = options.maxMachines,
                )
                startServersAndClients(loop)
                repeat(CONTROLLER_COUNT) { start(it) }
                world.start()
                scenario(this@LoopbackCluster)
                coroutineContext.cancelChildren()
            }
        } finally {
            processes.forEach { it?.destroyForcibly()?.waitFor() }
            directory.toFile().deleteRecursively()
        }
    }

    private fun CoroutineScope.startServersAndClients(loop: EventLoop) {
        for ((index, port) in ports.withIndex()) {
            val store = StoreServer(world.store.clientOf("mast-$index"))
            val cloud = CloudServer(world.cloud.clientOf(index))
            launch { HttpServer(loop, port.store, MAX_CONNECTIONS, store::handle).serve(this) }
            launch { HttpServer(loop, port.cloud, MAX_CONNECTIONS, cloud::handle).serve(this) }
        }
        val clients = ports.map { HttpClient(loop, it.http, MAX_CONNECTIONS) }
        world.transport = { index, request ->
            try {
                clients[index].call(request.method, request.path, request.body.takeIf { it.isNotEmpty() }, CALL_TIMEOUT_MICROS)
                    .let { HttpResponse(it.status, it.body) }
            } catch (e: NoResponseException) {
                null
            }
        }
    }

    /** Starts the controller [index] unless it is running. */
    fun start(index: Int) {
        if (processes[index]?.isAlive == true) return
        val config = directory.resolve("mast-$index.toml")
        Files.writeString(config, settingsText("mast-$index"))
        val policy = directory.resolve("policy.lua")
        Files.writeString(policy, options.policy)
        val command = listOf("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m", "-jar", options.jarOf(index)) +
            options.arguments + listOf("--policy", policy.toString(), "--config", config.toString())
        processes[index] = ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(Path.of("target", "loopback-${options.seed}-$index.log").toFile())).start()
    }

    /** Kills the controller [index] by a signal that it cannot handle. */
    fun kill(index: Int) {
        processes[index]?.destroyForcibly()?.waitFor()
    }

    /** Pauses the controller [index] by SIGSTOP; the clocks that it reads continue. */
    fun pause(index: Int) = signal(index, "STOP")

    /** Resumes the controller [index] by SIGCONT. */
    fun resume(index: Int) = signal(index, "CONT")

    private fun signal(index: Int, name: String) {
        val process = processes[index] ?: return
        if (process.isAlive) ProcessBuilder("kill", "-$name", process.pid().toString()).start().waitFor()
    }

    /** Waits until [condition] holds, for [maxMillis] at most, and returns whether it holds. */
    suspend fun await(maxMillis: Long, condition: () -> Boolean): Boolean {
        repeat((maxMillis / POLL_INTERVAL_MILLIS).toInt()) {
            if (condition()) return true
            delay(POLL_INTERVAL_MILLIS)
        }
        return condition()
    }

    private fun settings(name: String): Settings = SettingsReader.parse(settingsText(name))

    private fun settingsText(name: String): String {
        val ownPorts = ports[name.removePrefix("mast-").toInt()]
        val members = ports.indices.filter { "mast-$it" != name }
            .joinToString { """{ node_name = "mast-$it", domain = "a", peer_addr = "${ports[it].peers}" }""" }
        return """
            node_name = "$name"
            domain = "a"
            serve_on = "${ownPorts.http}"
            peer_listen = "${ownPorts.peers}"
            members = [$members]
            [external]
            cloud = "${ownPorts.cloud}"
            state = "${ownPorts.store}"
            [settings]
            zones = ["a", "b"]
            clock_off_ms = 10.0
            objectives = [${options.objectives}]
            teams = [
              { name = "north", cpus = ${options.maxMachines * 2}.0, cpus_max = ${options.maxMachines * 4}.0, gpus = 0.0, gpus_max = 0.0 },
              { name = "south", cpus = ${options.maxMachines}.0, cpus_max = ${options.maxMachines * 2}.0, gpus = 0.0, gpus_max = 0.0 },
            ]
            [settings.workers]
            report_s = 1.0
            lease_s = ${LEASE_MICROS / 1e6}
            gang_wait_s = 10.0
            gang_peer_s = 2.0
            cancel_s = 20.0
            [settings.state]
            rps = ${options.requestsPerSecond}
            write_rps = ${options.writesPerSecond}
            value_kb = 8.0
            txn_ops = 16
            [settings.cloud]
            rps = 20.0
            list_lag_s = 5.0
            [settings.limits]
            cpu_share = 0.5
            mem_mb = 200.0
            fd_limit = 1000
        """.trimIndent()
    }

    private fun freeAddress(): Address = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { Address("127.0.0.1", it.localPort) }

    private companion object {
        const val CONTROLLER_COUNT = 3
        const val LEASE_MICROS = 8_000_000L
        const val MAX_CONNECTIONS = 1_000
        const val CALL_TIMEOUT_MICROS = 5_000_000L
        const val POLL_INTERVAL_MILLIS = 50L
        val TYPES = listOf(
            MachineType("small", 4.0, 0.0, 32.0, 10.0, 1.0, 0.4, 0.1, 3_000_000, listOf("a", "b")),
            MachineType("large", 8.0, 0.0, 64.0, 10.0, 1.0, 0.8, 0.2, 3_000_000, listOf("a", "b")),
        )
    }
}

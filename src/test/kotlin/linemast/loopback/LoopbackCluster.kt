package linemast.loopback

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import linemast.domain.MachineType
import linemast.settings.Settings
import linemast.settings.SettingsReader
import linemast.simulation.CONTROLLER_COUNT
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

/** What a scenario on loopback runs with. */
internal class LoopbackOptions(
    val seed: Int,
    /** Options of the program besides its settings. */
    val arguments: List<String>,
    val policy: String,
    val baselineMachines: Int,
    val maxMachines: Int,
    val requestsPerSecond: Double = 3_000.0,
    val changesPerSecond: Double = 1_000.0,
    val objectives: String = "",
    /** The program that each controller runs. */
    val programs: List<Path> = List(CONTROLLER_COUNT) { Path.of("target", "linemast.jar") },
)

/** Three controllers as processes of their own, with stand-ins of everything else in this one, on loopback and in real time. */
internal class LoopbackCluster(private val options: LoopbackOptions) {
    private class Ports(val serve: Address, val peers: Address, val store: Address, val cloud: Address)

    private val directory: Path = Files.createTempDirectory("loopback")
    private val ports = List(CONTROLLER_COUNT) { Ports(freeAddress(), freeAddress(), freeAddress(), freeAddress()) }
    private val processes = arrayOfNulls<Process>(CONTROLLER_COUNT)
    lateinit var world: SimWorld
        private set

    /** Runs [script] with the cluster up, and ends all processes. */
    fun runScenario(script: suspend CoroutineScope.(LoopbackCluster) -> Unit) {
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
                connect(loop)
                repeat(CONTROLLER_COUNT) { start(it) }
                world.start()
                script(this@LoopbackCluster)
                coroutineContext.cancelChildren()
            }
        } finally {
            processes.forEach { it?.destroyForcibly()?.waitFor() }
            directory.toFile().deleteRecursively()
        }
    }

    private fun CoroutineScope.connect(loop: EventLoop) {
        for ((at, port) in ports.withIndex()) {
            val store = StoreServer(world.store.clientOf("mast-$at"))
            val cloud = CloudServer(world.cloud.clientOf(at))
            launch { HttpServer(loop, port.store, MAX_CONNECTIONS, store::answer).serve(this) }
            launch { HttpServer(loop, port.cloud, MAX_CONNECTIONS, cloud::answer).serve(this) }
        }
        val clients = ports.map { HttpClient(loop, it.serve, MAX_CONNECTIONS) }
        world.transport = { at, request ->
            try {
                clients[at].call(request.method, request.path, request.body.takeIf { it.isNotEmpty() }, CALL_MICROS)
                    .let { HttpResponse(it.status, it.body) }
            } catch (e: NoResponseException) {
                null
            }
        }
    }

    /** Starts the controller [at], if it does not run. */
    fun start(at: Int) {
        if (processes[at]?.isAlive == true) return
        val config = directory.resolve("mast-$at.toml")
        Files.writeString(config, settingsText("mast-$at"))
        val policy = directory.resolve("policy.lua")
        Files.writeString(policy, options.policy)
        val command = listOf("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m", "-jar", options.programs[at].toString()) +
            options.arguments + listOf("--policy", policy.toString(), "--config", config.toString())
        processes[at] = ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(Path.of("target", "loopback-${options.seed}-$at.log").toFile())).start()
    }

    /** Ends the controller [at] without a signal that it could handle. */
    fun kill(at: Int) {
        processes[at]?.destroyForcibly()?.waitFor()
    }

    /** Has the controller [at] stand still; its clocks run on. */
    fun freeze(at: Int) = signal(at, "STOP")

    /** Has the controller [at] go on. */
    fun thaw(at: Int) = signal(at, "CONT")

    private fun signal(at: Int, name: String) {
        val process = processes[at] ?: return
        if (process.isAlive) ProcessBuilder("kill", "-$name", process.pid().toString()).start().waitFor()
    }

    /** Waits until [precondition] holds, at most [maxMillis]; whether it does. */
    suspend fun await(maxMillis: Long, precondition: () -> Boolean): Boolean {
        repeat((maxMillis / STEP_MILLIS).toInt()) {
            if (precondition()) return true
            delay(STEP_MILLIS)
        }
        return precondition()
    }

    private fun settings(name: String): Settings = SettingsReader.parse(settingsText(name))

    private fun settingsText(name: String): String {
        val own = ports[name.removePrefix("mast-").toInt()]
        val members = ports.indices.filter { "mast-$it" != name }
            .joinToString { """{ node_name = "mast-$it", domain = "a", peer_addr = "${ports[it].peers}" }""" }
        return """
            node_name = "$name"
            domain = "a"
            serve_on = "${own.serve}"
            peer_listen = "${own.peers}"
            members = [$members]
            [external]
            cloud = "${own.cloud}"
            state = "${own.store}"
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
            write_rps = ${options.changesPerSecond}
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
        const val LEASE_MICROS = 8_000_000L
        const val MAX_CONNECTIONS = 1_000
        const val CALL_MICROS = 5_000_000L
        const val STEP_MILLIS = 50L
        val TYPES = listOf(
            MachineType("small", 4.0, 0.0, 32.0, 10.0, 1.0, 0.4, 0.1, 3_000_000, listOf("a", "b")),
            MachineType("large", 8.0, 0.0, 64.0, 10.0, 1.0, 0.8, 0.2, 3_000_000, listOf("a", "b")),
        )
    }
}

package linemast.settings

import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.dataformat.toml.TomlFactory
import linemast.serialization.Fields
import linemast.serialization.MalformedException
import linemast.serialization.ValueTree
import linemast.transport.Address
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** A settings file that cannot be used; the message is one line naming file and field. */
class SettingsException(message: String) : Exception(message)

/** Reads and checks the platform's TOML file. Unknown fields are ignored, as DEPLOY asks. */
object SettingsReader {
    private val ID = Regex("[A-Za-z0-9_.-]{1,64}")
    private const val MIN_TXN_OPS = 4
    private const val MIN_SOCKETS = 32
    private const val MIN_VALUE_KB = 1.5

    /** Reads and checks a settings file. */
    fun read(path: Path): Settings {
        val text = try {
            Files.readString(path)
        } catch (e: IOException) {
            throw SettingsException("$path: cannot be read (${e.javaClass.simpleName})")
        }
        return try {
            parse(text)
        } catch (e: MalformedException) {
            throw SettingsException("$path: ${e.message}")
        }
    }

    /** Reads and checks the text of a settings file. */
    fun parse(text: String): Settings = settings(table(text))

    /** The table that the text of any TOML file stands for. */
    fun table(text: String): Fields = Fields(tomlMap(text))

    private fun tomlMap(text: String): Map<String, Any?> = try {
        TomlFactory().createParser(text).use { parser ->
            if (parser.nextToken() != JsonToken.START_OBJECT) throw MalformedException("is not a TOML table")
            ValueTree.readMap(parser)
        }
    } catch (e: IOException) {
        throw MalformedException("is not TOML: ${e.message?.lineSequence()?.first()}")
    }

    private fun settings(root: Fields): Settings {
        val external = root.child("external")
        val shared = root.child("settings")
        val members = root.children("members").map {
            Member(id(it, "node_name"), it.text("domain"), address(it, "peer_addr"))
        }
        val nodeName = id(root, "node_name")
        if ((members.map { it.nodeName } + nodeName).toSet().size != members.size + 1) {
            root.fail("members", "names a controller twice")
        }
        return Settings(
            nodeName = nodeName,
            domain = root.text("domain"),
            listenAddress = address(root, "serve_on"),
            peerListenAddress = address(root, "peer_listen"),
            members = members,
            cloud = address(external, "cloud"),
            state = address(external, "state"),
            zones = shared.textsOrNull("zones") ?: emptyList(),
            maxClockErrorMicros = (atLeast(shared, "clock_off_ms", 0.0) * 1_000).toLong(),
            teams = teams(shared),
            objectives = shared.children("objectives").map(::objective),
            workers = workers(shared.child("workers")),
            storeLimits = storeLimits(shared.child("state")),
            cloudLimits = shared.child("cloud").let { CloudLimits(positive(it, "rps"), duration(it, "list_lag_s")) },
            processLimits = shared.child("limits").let {
                ProcessLimits(positive(it, "cpu_share"), positive(it, "mem_mb"), count(it, "fd_limit", MIN_SOCKETS))
            },
        )
    }

    private fun teams(shared: Fields): List<Team> {
        val teams = shared.children("teams").map {
            Team(
                name = it.text("name"),
                guaranteedVcpus = atLeast(it, "cpus", 0.0),
                maxVcpus = atLeast(it, "cpus_max", 0.0),
                guaranteedGpus = atLeast(it, "gpus", 0.0),
                maxGpus = atLeast(it, "gpus_max", 0.0),
            )
        }
        if (teams.isEmpty()) shared.fail("teams", "must name at least one team")
        if (teams.map { it.name }.toSet().size != teams.size) shared.fail("teams", "names a team twice")
        return teams
    }

    private fun objective(fields: Fields): Objective {
        val kind = fields.text("kind")
        val jobClass = fields.textOrNull("class")
        val withinMicros = fields.microsOrNull("within_s") ?: fields.numberOrNull("within_ms")?.let { (it * 1_000).toLong() }
        // Nothing depends on the share of jobs that an objective is for, but a malformed one is refused like any other field.
        fields.numberOrNull("share")
        val factor = fields.numberOrNull("times") ?: 1.0
        return when (kind) {
            "wait" -> withinMicros?.let { Objective.Wait(jobClass, it) }
            "finished" -> withinMicros?.let { Objective.Finished(jobClass, it) }
            "deadline" -> Objective.Deadline(jobClass, factor)
            "guarantee" -> withinMicros?.let { Objective.Guarantee(jobClass, it) }
            else -> null
        } ?: Objective.Ignored(jobClass)
    }

    private fun workers(fields: Fields): WorkerSettings {
        val workers = WorkerSettings(
            heartbeatIntervalMicros = duration(fields, "report_s"),
            leaseMicros = duration(fields, "lease_s"),
            gangStartTimeoutMicros = duration(fields, "gang_wait_s"),
            gangPeerTimeoutMicros = duration(fields, "gang_peer_s"),
            cancelMicros = duration(fields, "cancel_s"),
        )
        if (workers.cancelMicros <= workers.leaseMicros) fields.fail("cancel_s", "must be more than lease_s")
        return workers
    }

    private fun storeLimits(fields: Fields): StoreLimits {
        val rps = positive(fields, "rps")
        val writeRps = positive(fields, "write_rps")
        val valueBytes = valueBytes(fields)
        val txnOps = count(fields, "txn_ops", MIN_TXN_OPS)
        val next = fields.childOrNull("next")?.let {
            StoreLimits(
                rps = if (it.has("rps")) positive(it, "rps") else rps,
                writeRps = if (it.has("write_rps")) positive(it, "write_rps") else writeRps,
                valueBytes = if (it.has("value_kb")) valueBytes(it) else valueBytes,
                txnOps = if (it.has("txn_ops")) count(it, "txn_ops", MIN_TXN_OPS) else txnOps,
            )
        }
        return StoreLimits(rps, writeRps, valueBytes, txnOps, next)
    }

    /** A part of a done set alone takes nearly 1.5 KiB. */
    private fun valueBytes(fields: Fields) = (atLeast(fields, "value_kb", MIN_VALUE_KB) * 1024).toInt()

    private fun id(fields: Fields, name: String): String {
        val value = fields.text(name)
        return if (ID.matches(value)) value else fields.fail(name, "must be 1 to 64 letters, digits, '_', '.' or '-'")
    }

    private fun address(fields: Fields, name: String): Address =
        Address.parse(fields.text(name)) ?: fields.fail(name, "must be an address such as 10.0.0.1:8080")

    private fun positive(fields: Fields, name: String): Double =
        fields.number(name).also { if (it <= 0) fields.fail(name, "must be more than 0") }

    private fun atLeast(fields: Fields, name: String, least: Double): Double =
        fields.number(name).also { if (it < least) fields.fail(name, "must be at least $least") }

    private fun duration(fields: Fields, name: String): Long = (positive(fields, name) * 1e6).toLong()

    private fun count(fields: Fields, name: String, least: Int): Int {
        val value = fields.long(name)
        return if (value in least..1_000_000) value.toInt() else fields.fail(name, "must be from $least to 1000000")
    }
}

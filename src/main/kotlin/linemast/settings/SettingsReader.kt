package linemast.settings

import linemast.serialization.Fields
import linemast.time.MICROS_PER_MILLI
import java.nio.file.Path

/** Reads and checks the platform's settings file in TOML. Unknown fields are ignored, because the deployment rules require it. */
object SettingsReader {
    private const val MIN_TXN_OPS = 4
    private const val MIN_SOCKETS = 32
    private const val BYTES_PER_KIB = 1024

    /** The minimum must hold one part of a stored set of completed tasks, which takes nearly 1.5 KiB. */
    private const val MIN_VALUE_KIB = 1.5

    /** Reads and checks a settings file; throws a [SettingsException] if the file cannot be used. */
    fun read(path: Path): Settings = SettingsFile.read(path, ::parse)

    /** Reads and checks the text of a settings file; throws a `MalformedException` that names the invalid field. */
    fun parse(text: String): Settings = settings(Toml.parse(text))

    private fun settings(root: Fields): Settings {
        val external = root.child("external")
        val shared = root.child("settings")
        val members = root.children("members").map(::member)
        val nodeName = root.identifier("node_name")
        if ((members.map { it.nodeName } + nodeName).toSet().size != members.size + 1) {
            root.fail("members", "must have node_name values that differ from each other and from the node_name of this controller")
        }
        return Settings(
            nodeName = nodeName,
            failureDomain = root.text("domain"),
            listenAddress = root.address("serve_on"),
            peerListenAddress = root.address("peer_listen"),
            members = members,
            cloudAddress = external.address("cloud"),
            storeAddress = external.address("state"),
            zones = shared.textsOrNull("zones") ?: emptyList(),
            maxClockErrorMicros = (shared.atLeast("clock_off_ms", 0.0) * MICROS_PER_MILLI).toLong(),
            teams = teams(shared),
            objectives = shared.children("objectives").map(::objective),
            workers = workers(shared.child("workers")),
            storeLimits = storeLimits(shared.child("state")),
            cloudLimits = cloudLimits(shared.child("cloud")),
            processLimits = processLimits(shared.child("limits")),
        )
    }

    private fun member(fields: Fields) = Member(fields.identifier("node_name"), fields.text("domain"), fields.address("peer_addr"))

    private fun teams(shared: Fields): List<Team> {
        val teams = shared.children("teams").map(::team)
        if (teams.isEmpty()) shared.fail("teams", "must contain at least one team")
        if (teams.map { it.name }.toSet().size != teams.size) shared.fail("teams", "must have a different name for each team")
        return teams
    }

    private fun team(fields: Fields) = Team(
        name = fields.text("name"),
        guaranteedVcpus = fields.atLeast("cpus", 0.0),
        maxVcpus = fields.atLeast("cpus_max", 0.0),
        guaranteedGpus = fields.atLeast("gpus", 0.0),
        maxGpus = fields.atLeast("gpus_max", 0.0),
    )

    private fun objective(fields: Fields): Objective {
        val kind = fields.text("kind")
        val jobClass = fields.textOrNull("class")
        val withinMicros =
            fields.durationMicrosOrNull("within_s") ?: fields.numberOrNull("within_ms")?.let { (it * MICROS_PER_MILLI).toLong() }
        // No code uses the share of jobs to which an objective applies, but a malformed share is rejected like any other malformed field.
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
            heartbeatIntervalMicros = fields.duration("report_s"),
            leaseMicros = fields.duration("lease_s"),
            gangStartTimeoutMicros = fields.duration("gang_wait_s"),
            gangPeerTimeoutMicros = fields.duration("gang_peer_s"),
            cancellationDeadlineMicros = fields.duration("cancel_s"),
        )
        if (workers.cancellationDeadlineMicros <= workers.leaseMicros) fields.fail("cancel_s", "must be more than lease_s")
        return workers
    }

    private fun storeLimits(fields: Fields): StoreLimits {
        val current = StoreLimits(
            rps = fields.positive("rps"),
            writeRps = fields.positive("write_rps"),
            valueBytes = valueBytes(fields),
            txnOps = fields.count("txn_ops", MIN_TXN_OPS),
        )
        val next = fields.childOrNull("next") ?: return current
        return current.copy(next = nextStoreLimits(next, current))
    }

    /** Reads the next limits. A limit that is absent keeps the value that it has in [current]. */
    private fun nextStoreLimits(fields: Fields, current: StoreLimits) = StoreLimits(
        rps = if (fields.has("rps")) fields.positive("rps") else current.rps,
        writeRps = if (fields.has("write_rps")) fields.positive("write_rps") else current.writeRps,
        valueBytes = if (fields.has("value_kb")) valueBytes(fields) else current.valueBytes,
        txnOps = if (fields.has("txn_ops")) fields.count("txn_ops", MIN_TXN_OPS) else current.txnOps,
    )

    private fun valueBytes(fields: Fields): Int = (fields.atLeast("value_kb", MIN_VALUE_KIB) * BYTES_PER_KIB).toInt()

    private fun cloudLimits(fields: Fields) = CloudLimits(fields.positive("rps"), fields.duration("list_lag_s"))

    private fun processLimits(fields: Fields) =
        ProcessLimits(fields.positive("cpu_share"), fields.positive("mem_mb"), fields.count("fd_limit", MIN_SOCKETS))
}

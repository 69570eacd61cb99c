package linemast.size

import linemast.settings.Settings
import linemast.settings.SettingsReader

/** Returns the settings of a [FleetScenario]: each of the [teams] has [cpus] vCPUs guaranteed and uses at most [maxVcpus]. */
internal fun fleetScenarioSettings(teams: List<String>, cpus: Int, maxVcpus: Int): Settings = SettingsReader.parse(
    """
    node_name = "mast-0"
    domain = "a"
    serve_on = "10.0.0.1:8080"
    peer_listen = "10.0.0.1:8081"
    [external]
    cloud = "10.2.0.2:1"
    state = "10.2.0.1:1"
    [settings]
    zones = ["a", "b", "c", "d"]
    clock_off_ms = 0.0
    teams = [${teams.joinToString { """{ name = "$it", cpus = $cpus.0, cpus_max = $maxVcpus.0, gpus = 0.0, gpus_max = 0.0 }""" }}]
    objectives = [
      { kind = "wait", class = "gangs", within_s = 15.0, share = 0.9 },
      { kind = "finished", class = "gangs", within_s = 200.0, share = 0.9 },
      { kind = "deadline", class = "sweeps", share = 0.9, times = 1.0 },
      { kind = "guarantee", within_s = 20.0, share = 0.9 },
    ]
    [settings.workers]
    report_s = 2.0
    lease_s = 13.0
    gang_wait_s = 45.0
    gang_peer_s = 4.0
    cancel_s = 38.0
    [settings.state]
    rps = 350.0
    write_rps = 100.0
    value_kb = 16.0
    txn_ops = 16
    [settings.cloud]
    rps = 12.0
    list_lag_s = 6.0
    [settings.limits]
    cpu_share = 0.27
    mem_mb = 311.0
    fd_limit = 1942
    """.trimIndent(),
)

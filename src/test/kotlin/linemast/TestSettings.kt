package linemast

import linemast.settings.Settings
import linemast.settings.SettingsReader

/** Returns settings with one zone and the given [teams], for tests of single packages. */
internal fun testSettings(teams: String = """{ name = "team", cpus = 8, cpus_max = 64, gpus = 0, gpus_max = 0 }"""): Settings =
    SettingsReader.parse(
        """
        node_name = "mast-0"
        domain = "z"
        serve_on = "10.0.0.1:1"
        peer_listen = "10.0.0.1:2"
        [external]
        cloud = "10.0.0.2:1"
        state = "10.0.0.3:1"
        [settings]
        clock_off_ms = 0
        teams = [$teams]
        workers = { report_s = 1, lease_s = 10, gang_wait_s = 10, gang_peer_s = 2, cancel_s = 30 }
        state = { rps = 100, write_rps = 50, value_kb = 8, txn_ops = 16 }
        cloud = { rps = 5, list_lag_s = 5 }
        limits = { cpu_share = 0.1, mem_mb = 150, fd_limit = 500 }
        """.trimIndent(),
    )

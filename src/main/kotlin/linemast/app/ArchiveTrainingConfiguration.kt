package linemast.app

import linemast.control.ControllerConfiguration
import linemast.settings.AdmissionSettings
import linemast.settings.DutySettings
import linemast.settings.FeatureFile
import linemast.settings.Features
import linemast.settings.Policy
import linemast.settings.RecoverySettings
import linemast.settings.Settings
import linemast.settings.SettingsReader
import linemast.transport.Address
import java.net.InetAddress
import java.net.ServerSocket

/**
 * Returns the configuration of the controller in [ArchiveTraining], whose store and cloud are at [standInAddress].
 *
 * It is parsed from text like the settings files, so that the archive also contains the classes of the parsers.
 */
internal fun trainingConfiguration(standInAddress: Address) =
    ControllerConfiguration(trainingSettings(standInAddress), Policy(), trainingFeatures())

/** Returns a loopback address with a port on which no process listens. */
internal fun freeLoopbackAddress(): Address = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use {
    Address("127.0.0.1", it.localPort)
}

private fun trainingFeatures() = Features(
    duties = FeatureFile.parse("[duties]\nslots = 32\n", "duties", DutySettings::from),
    recovery = FeatureFile.parse("[recovery]\nconfirm_s = 1.0\n", "recovery", RecoverySettings::from),
    admission = FeatureFile.parse("[admission]\nepoch_s = 1.0\n", "admission", AdmissionSettings::from),
)

private fun trainingSettings(standInAddress: Address): Settings = SettingsReader.parse(
    """
    node_name = "training"
    domain = "zone"
    serve_on = "${freeLoopbackAddress()}"
    peer_listen = "${freeLoopbackAddress()}"
    members = []
    [external]
    cloud = "$standInAddress"
    state = "$standInAddress"
    [settings]
    zones = ["zone"]
    clock_off_ms = 1.0
    [[settings.teams]]
    name = "team"
    cpus = 4.0
    cpus_max = 8.0
    gpus = 0.0
    gpus_max = 0.0
    [settings.workers]
    report_s = 1.0
    lease_s = 10.0
    gang_wait_s = 10.0
    gang_peer_s = 1.0
    cancel_s = 30.0
    [settings.state]
    rps = 1000.0
    write_rps = 1000.0
    value_kb = 16.0
    txn_ops = 16
    [settings.cloud]
    rps = 100.0
    list_lag_s = 1.0
    [settings.limits]
    cpu_share = 1.0
    mem_mb = 150.0
    fd_limit = 200
    """.trimIndent(),
)

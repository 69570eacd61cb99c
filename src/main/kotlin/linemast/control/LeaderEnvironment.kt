package linemast.control

import linemast.cloud.Cloud
import linemast.domain.MachineType
import linemast.peers.PeerView
import linemast.settings.Features
import linemast.settings.Policy
import linemast.settings.Settings
import linemast.store.KeyValueStore
import linemast.time.Clock

/**
 * What the operators configured for a controller.
 *
 * @property settings the platform's settings file.
 * @property policy intervals and limits of planning, scaling and leadership.
 * @property features the optional parts of the service that are enabled.
 */
class ControllerConfiguration(val settings: Settings, val policy: Policy, val features: Features)

/** What a [Leader] gets from its controller; it outlives the leader's term. */
class LeaderEnvironment(
    /** What the operators configured. */
    val configuration: ControllerConfiguration,
    /** The consensus-backed key-value store, with this controller's limits on requests. */
    val store: KeyValueStore,
    /** The cloud's API. */
    val cloud: Cloud,
    /** The steady clock that intervals, leases and timeouts are measured on. */
    val clock: Clock,
    /** Time of day in microseconds. */
    val wallMicros: () -> Long,
    /** What the other controllers last said of themselves. */
    val peers: PeerView,
    /** The cloud's machine types; null until they are known. */
    val machineTypes: () -> List<MachineType>?,
)

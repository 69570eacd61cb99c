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

/** What a controller provides to each [Leader] that it runs; one instance serves all terms of the controller. */
class LeaderEnvironment(
    /** The operators' settings, policy and optional features. */
    val configuration: ControllerConfiguration,
    /** The consensus-backed key-value store, behind this controller's rate limiter. */
    val store: KeyValueStore,
    /** The cloud's API. */
    val cloud: Cloud,
    /** The steady clock for intervals, leases and timeouts. */
    val clock: Clock,
    /** Returns the wall time in microseconds. */
    val wallMicros: () -> Long,
    /** The latest status that each other controller has sent. */
    val peers: PeerView,
    /** Returns the cloud's machine types, or null until the cloud has returned them. */
    val machineTypes: () -> List<MachineType>?,
)

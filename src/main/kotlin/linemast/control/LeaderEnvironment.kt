package linemast.control

import linemast.cloud.Cloud
import linemast.domain.MachineType
import linemast.peers.PeerView
import linemast.settings.Features
import linemast.settings.Policy
import linemast.settings.Settings
import linemast.store.KeyValueStore
import linemast.time.Clock

/** What the operators configured for a controller. */
class LeaderConfiguration(val settings: Settings, val policy: Policy, val features: Features)

/** What a [Leader] gets from its controller; it outlives the leader's term. */
class LeaderEnvironment(
    val configuration: LeaderConfiguration,
    val store: KeyValueStore,
    val cloud: Cloud,
    val clock: Clock,
    /** Time of day in microseconds. */
    val wallMicros: () -> Long,
    val peers: PeerView,
    /** The cloud's machine types; null until they are known. */
    val types: () -> List<MachineType>?,
)

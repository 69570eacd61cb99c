package linemast.app

import linemast.peers.PeerView
import linemast.store.StoreHealthProbe
import linemast.time.Clock
import linemast.transport.HttpResponse
import linemast.transport.HttpStatus

/** Decides whether the load balancer should send users to this controller. */
internal class HealthCheck(
    private val machineTypes: MachineTypeCatalog,
    private val healthProbe: StoreHealthProbe,
    private val peerView: PeerView,
    private val clock: Clock,
) {
    /** The response to a health check. */
    fun respond() = HttpResponse(if (isHealthy()) HttpStatus.OK else HttpStatus.SERVICE_UNAVAILABLE)

    /**
     * Without the key-value store no request can be handled. Users are sent elsewhere only if the store responds to another
     * controller: in an outage of the store itself, taking all controllers out would only delay the return.
     */
    private fun isHealthy(): Boolean =
        machineTypes.types != null && (healthProbe.failingForMicros(clock.nowMicros()) < MAX_FAILING_MICROS || !peerView.peerReachesStore)

    private companion object {
        /** Longer than an outage takes to show in the status of peers: a second between probes, one between statuses. */
        const val MAX_FAILING_MICROS = 3_500_000L
    }
}

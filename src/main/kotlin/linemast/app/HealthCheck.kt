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
    /** Returns the response to a health check: 200 if the load balancer should send users to this controller, otherwise 503. */
    fun respond() = HttpResponse(if (isHealthy()) HttpStatus.OK else HttpStatus.SERVICE_UNAVAILABLE)

    /**
     * Whether the load balancer should send users to this controller.
     *
     * A controller is unhealthy until it has read the machine types.
     *
     * Without the key-value store no request can be handled. A controller whose reads of the store fail is unhealthy only while
     * the store responds to another controller: in an outage of the store itself, taking all controllers out of the load balancer
     * would only delay the return to service.
     */
    private fun isHealthy(): Boolean = machineTypes.types != null &&
        (healthProbe.failingForMicros(clock.nowMicros()) < MAX_FAILING_MICROS || !peerView.anyPeerReachesStore)

    private companion object {
        /** Longer than an outage takes to appear in the statuses of peers: one second between probes and one between statuses. */
        const val MAX_FAILING_MICROS = 3_500_000L
    }
}

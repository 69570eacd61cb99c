package linemast.app

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import linemast.cloud.CloudClient
import linemast.control.ControllerConfiguration
import linemast.peers.PeerLinks
import linemast.store.KeyValueStoreClient
import linemast.time.MICROS_PER_MILLI
import linemast.time.SteadyClock
import linemast.transport.EventLoop
import linemast.transport.HttpRequest
import linemast.transport.HttpResponse
import linemast.transport.HttpServer
import org.slf4j.LoggerFactory

/** One controller: a [ControllerNode] and its sockets, all of which run on [loop]. */
class Controller(private val configuration: ControllerConfiguration, private val loop: EventLoop) {
    private val settings = configuration.settings
    private val log = LoggerFactory.getLogger(Controller::class.java)

    /** Serves until it is cancelled; the HTTP server, the peer links and the [ControllerNode] run as its child coroutines. */
    suspend fun run() = coroutineScope {
        val clock = SteadyClock
        val store = KeyValueStoreClient(loop, settings.storeAddress, settings.storeLimits, settings.controllerCount, clock)
        lateinit var links: PeerLinks
        val node = ControllerNode(
            configuration = configuration,
            store = store,
            cloud = CloudClient(loop, settings.cloudAddress, settings.cloudLimits, clock),
            clock = clock,
            wallMicros = { System.currentTimeMillis() * MICROS_PER_MILLI },
            scope = this,
            onLeadershipChange = store::setLeader,
            sendToPeer = { nodeName, message -> links.send(nodeName, message) },
        )
        var handler: suspend (HttpRequest) -> HttpResponse = node::route
        if (log.isDebugEnabled) {
            val metrics = Metrics(clock)
            handler = metrics.measureLatency(handler)
            loop.onIteration = metrics::recordIteration
            launch { metrics.run() }
        }
        val server = HttpServer(loop, settings.listenAddress, settings.processLimits.fdLimit - RESERVED_FILE_DESCRIPTORS, handler)
        launch { server.serve(this) }
        links = PeerLinks(settings, loop, clock, node::peerStatus, node::receivePeerMessage)
        launch { links.run(this) }
        node.start()
        log.info("{} serving on {}", settings.nodeName, settings.listenAddress)
    }

    private companion object {
        /** File descriptors reserved for the store, the cloud and the peers, and for those that the JVM itself keeps open. */
        const val RESERVED_FILE_DESCRIPTORS = 40
    }
}

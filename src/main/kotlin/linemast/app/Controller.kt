package linemast.app

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import linemast.cloud.CloudClient
import linemast.peers.PeerLinks
import linemast.settings.Features
import linemast.settings.Policy
import linemast.settings.Settings
import linemast.store.KeyValueStoreClient
import linemast.time.SteadyClock
import linemast.transport.EventLoop
import linemast.transport.HttpRequest
import linemast.transport.HttpResponse
import linemast.transport.HttpServer
import org.slf4j.LoggerFactory

/** One controller: a [Node] with its sockets, running until it is cancelled. */
class Controller(private val settings: Settings, private val policy: Policy, private val features: Features, private val loop: EventLoop) {
    private val log = LoggerFactory.getLogger(Controller::class.java)

    /** Serves until it is cancelled. */
    suspend fun run() = coroutineScope {
        val clock = SteadyClock
        val store = KeyValueStoreClient(loop, settings.storeAddress, settings.storeLimits, settings.controllers, clock)
        val node = Node(
            settings = settings,
            policy = policy,
            store = store,
            cloud = CloudClient(loop, settings.cloudAddress, settings.cloudLimits, clock),
            clock = clock,
            wallMicros = { System.currentTimeMillis() * 1_000 },
            scope = this,
            onLeadershipChange = store::setLeader,
            features = features,
        )
        var handler: suspend (HttpRequest) -> HttpResponse = node::route
        if (log.isDebugEnabled) {
            val metrics = Metrics(clock)
            handler = metrics.around(handler)
            loop.onIteration = metrics::turn
            launch { metrics.run() }
        }
        val server = HttpServer(loop, settings.listenAddress, settings.processLimits.fdLimit - RESERVED_SOCKETS, handler)
        launch { server.serve(this) }
        val links = PeerLinks(settings, loop, node::peerStatus, node::receivePeerStatus)
        launch { links.run(this) }
        node.start()
        log.info("{} serving on {}", settings.nodeName, settings.listenAddress)
    }

    private companion object {
        /** Kept for the store, the cloud and the peers, and for what the JVM itself holds open. */
        const val RESERVED_SOCKETS = 40
    }
}

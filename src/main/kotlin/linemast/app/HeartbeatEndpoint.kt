package linemast.app

import linemast.leadership.LeaderView
import linemast.serialization.Cbor
import linemast.time.Clock
import linemast.transport.HttpRequest
import linemast.transport.HttpResponse
import linemast.transport.HttpStatus
import linemast.workers.HeartbeatCodec

/** Receives the heartbeats of workers: the leader responds with commands, other controllers redirect the worker to the leader. */
internal class HeartbeatEndpoint(
    private val nodeName: String,
    private val clock: Clock,
    private val leaderView: LeaderView,
    private val leaderLifecycle: LeaderLifecycle,
    private val peerStatusExchange: PeerStatusExchange,
) {
    /** Responds to a heartbeat; throws a [linemast.serialization.MalformedException] if its body cannot be decoded. */
    suspend fun respond(request: HttpRequest): HttpResponse {
        val heartbeat = HeartbeatCodec.decode(Cbor.decodeMap(request.body))
        peerStatusExchange.recordHeartbeat()
        leaderView.observeFencingToken(heartbeat.fencingToken)
        val response = leaderLifecycle.leader?.handleHeartbeat(heartbeat) ?: return redirect()
        val body = HeartbeatCodec.encodeResponse(response.fencingToken, response.commands)
        return HttpResponse(HttpStatus.OK, Cbor.encode(body), isStillValid = { response.isValid(clock.nowMicros()) })
    }

    private fun redirect(): HttpResponse {
        val leaderName = leaderView.leaderName
        if (leaderName == null || leaderName == nodeName) return HttpResponse(HttpStatus.MISDIRECTED_REQUEST)
        return HttpResponse(HttpStatus.MISDIRECTED_REQUEST, Cbor.encode(HeartbeatCodec.encodeRedirect(leaderName)))
    }
}

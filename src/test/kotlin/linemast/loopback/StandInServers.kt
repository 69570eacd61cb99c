package linemast.loopback

import kotlinx.coroutines.awaitCancellation
import linemast.cloud.Cloud
import linemast.cloud.CloudException
import linemast.cloud.MachineTypeCodec
import linemast.cloud.ScaleOutRequest
import linemast.cloud.ScaleOutResult
import linemast.serialization.Cbor
import linemast.serialization.Fields
import linemast.store.CommitResult
import linemast.store.Entry
import linemast.store.KeyValueStore
import linemast.store.Precondition
import linemast.store.StoreException
import linemast.store.WatchResult
import linemast.store.Write
import linemast.transport.HttpRequest
import linemast.transport.HttpResponse

/** Serves one controller's client of the simulated key-value store over the real protocol. */
internal class StoreServer(private val store: KeyValueStore) {
    suspend fun handle(request: HttpRequest): HttpResponse = try {
        route(request)
    } catch (e: StoreException) {
        // A call that may have been executed gets no response, so that the client cannot know whether it was.
        if (e.mayHaveExecuted) awaitCancellation()
        HttpResponse(503)
    }

    private suspend fun route(request: HttpRequest): HttpResponse {
        val path = request.path
        val query = request.query.split('&').associate { it.substringBefore('=') to it.substringAfter('=', "") }
        return when {
            path == "/keys" -> list(query)
            path.startsWith("/keys/") -> get(path.removePrefix("/keys/"))
            path == "/commit" -> commit(Cbor.decodeMap(request.body))
            path == "/follow" -> watch(query)
            path == "/holds" -> HttpResponse.of(200, "hold" to store.grantLease(Cbor.decodeMap(request.body).long("life_ms") * 1_000))
            path.endsWith("/renew") -> HttpResponse(if (store.renewLease(path.split('/')[2].toLong())) 200 else 404)
            else -> HttpResponse(200).also { store.revokeLease(path.substringAfterLast('/').toLong()) }
        }
    }

    private fun encode(entry: Entry) = mapOf("k" to entry.key, "v" to entry.value.map, "stamp" to entry.revision)

    private suspend fun get(key: String): HttpResponse {
        val entry = store.get(key) ?: return HttpResponse.of(404, "era" to 0)
        return HttpResponse(200, Cbor.encode(encode(entry)))
    }

    private suspend fun list(query: Map<String, String>): HttpResponse {
        val page = store.list(query.getValue("under"), query["after"])
        return HttpResponse.of(200, "pairs" to page.entries.map(::encode), "truncated" to page.truncated, "era" to page.revision)
    }

    private suspend fun commit(body: Fields): HttpResponse {
        val preconditions = body.children("when").map { Precondition(it.text("k"), it.long("stamp")) }
        val writes = body.children("writes").map { write ->
            write.textOrNull("drop")?.let { Write.Delete(it) }
                ?: Write.Put(write.text("put"), write.child("v").map, write.longOrNull("hold"))
        }
        return when (val result = store.commit(preconditions, writes)) {
            is CommitResult.Applied -> HttpResponse.of(200, "era" to result.revision)
            is CommitResult.Conflict -> HttpResponse.of(409, "failed" to result.failed, "era" to 0)
            is CommitResult.NoSuchLease -> HttpResponse.of(400, "error" to "no such lease")
        }
    }

    private suspend fun watch(query: Map<String, String>): HttpResponse {
        val result = store.watch(query.getValue("under"), query.getValue("after").toLong(), query.getValue("wait_ms").toLong() * 1_000)
        if (result !is WatchResult.Changes) return HttpResponse(410)
        val changes = result.changes.map { change ->
            val value = change.value
            if (value == null) {
                mapOf("drop" to change.key, "stamp" to change.revision)
            } else {
                encode(Entry(change.key, value, change.revision))
                    .let { it - "k" + ("put" to change.key) }
            }
        }
        return HttpResponse.of(200, "era" to result.revision, "news" to changes)
    }
}

/** Serves one controller's client of the simulated cloud over the real protocol. */
internal class CloudServer(private val cloud: Cloud) {
    suspend fun handle(request: HttpRequest): HttpResponse = when {
        request.path == "/machine_types" -> HttpResponse(200, Cbor.encode(MachineTypeCodec.encode(cloud.listMachineTypes())))
        request.path == "/machines/return" -> scaleIn(Cbor.decodeMap(request.body).textsOrNull("rigs")!!)
        request.method == "POST" -> scaleOut(Cbor.decodeMap(request.body))
        else -> list()
    }

    private suspend fun list(): HttpResponse {
        val machines = cloud.listMachines().map {
            mapOf(
                "name_id" to it.name,
                "addr" to it.address,
                "build" to it.machineType,
                "yard" to it.zone,
                "loaners" to it.spot,
                "status" to it.status,
                "age_s" to it.ageMicros / 1e6,
            )
        }
        return HttpResponse.of(200, "rigs" to machines, "truncated" to false)
    }

    private suspend fun scaleOut(body: Fields): HttpResponse {
        val request =
            ScaleOutRequest(body.text("charter"), body.text("build"), body.text("yard"), body.flag("loaners"), body.long("number").toInt())
        return when (val result = cloud.scaleOut(request)) {
            is ScaleOutResult.Granted -> HttpResponse.of(200, "rigs" to result.names)
            ScaleOutResult.NoCapacity -> HttpResponse.of(503, "error" to "no capacity")
            ScaleOutResult.Unknown -> HttpResponse.of(503, "error" to "trouble")
        }
    }

    private suspend fun scaleIn(names: List<String>): HttpResponse = try {
        cloud.scaleIn(names)
        HttpResponse.of(200)
    } catch (e: CloudException) {
        HttpResponse.of(503, "error" to "trouble")
    }
}

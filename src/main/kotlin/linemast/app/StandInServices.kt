package linemast.app

import kotlinx.coroutines.delay
import linemast.serialization.Cbor
import linemast.serialization.Fields
import linemast.transport.HttpRequest
import linemast.transport.HttpResponse
import linemast.transport.HttpStatus

/** Stand-in for the key-value store and the cloud at one address, reduced to what one leader needs for a second. */
internal class StandInServices {
    private val cloud = StandInCloud()
    private val store = StandInStore()

    /** Responds to a request of a controller. */
    suspend fun respond(request: HttpRequest): HttpResponse = cloud.respond(request) ?: store.respond(request)
}

/** Stand-in for a cloud with one machine type and no machines. */
private class StandInCloud {
    /** Responds to [request]; returns null if its path is not one of the cloud. */
    fun respond(request: HttpRequest): HttpResponse? = when (request.path) {
        "/machine_types" -> HttpResponse.of(HttpStatus.OK, "builds" to listOf(machineType()))
        "/machines" -> HttpResponse.of(HttpStatus.OK, "rigs" to emptyList<Any>(), "truncated" to false)
        else -> null
    }

    private fun machineType() = mapOf(
        "name" to "type", "vcpus" to 8.0, "gpus" to 0.0, "memory_gb" to 32.0, "local_gb" to 10.0,
        "fetch_gb_per_s" to 1.0, "price" to 1.0, "market_price" to 0.5, "startup_s" to 10, "yards" to listOf("zone"),
    )
}

/** Stand-in for the key-value store: in memory, without lease expiry and without pagination. */
private class StandInStore {
    private class Entry(val value: Map<String, Any?>, val revision: Long)

    private val entries = sortedMapOf<String, Entry>()
    private var revision = 1L

    suspend fun respond(request: HttpRequest): HttpResponse {
        val path = request.path
        return when {
            path == "/holds" -> HttpResponse.of(HttpStatus.OK, "hold" to 1)
            path.startsWith("/holds/") -> HttpResponse.of(HttpStatus.OK)
            path == "/commit" -> commit(Cbor.decodeMap(request.body))
            path == "/follow" -> watch(request)
            path == "/keys" -> list(request)
            else -> get(path.removePrefix("/keys/"))
        }
    }

    private fun get(key: String): HttpResponse {
        val entry = entries[key] ?: return HttpResponse.of(HttpStatus.NOT_FOUND, "era" to revision)
        return HttpResponse.of(HttpStatus.OK, "k" to key, "v" to entry.value, "stamp" to entry.revision)
    }

    private fun list(request: HttpRequest): HttpResponse {
        val pairs = entriesUnder(request).map { (key, entry) -> mapOf("k" to key, "v" to entry.value, "stamp" to entry.revision) }
        return HttpResponse.of(HttpStatus.OK, "pairs" to pairs, "truncated" to false, "era" to revision)
    }

    private suspend fun watch(request: HttpRequest): HttpResponse {
        delay(WATCH_MILLIS)
        val after = request.query.substringAfter("after=").substringBefore('&').toLong()
        val changes = entriesUnder(request).filterValues { it.revision > after }
            .map { (key, entry) -> mapOf("put" to key, "v" to entry.value, "stamp" to entry.revision) }
        return HttpResponse.of(HttpStatus.OK, "era" to revision, "news" to changes)
    }

    private fun commit(body: Fields): HttpResponse {
        val failed = body.children("when").filter { (entries[it.text("k")]?.revision ?: 0L) != it.long("stamp") }
        if (failed.isNotEmpty()) return HttpResponse.of(HttpStatus.CONFLICT, "failed" to failed.map { it.text("k") }, "era" to revision)
        revision++
        for (write in body.children("writes")) {
            val key = write.textOrNull("put")
            if (key == null) entries.remove(write.text("drop")) else entries[key] = Entry(write.child("v").map, revision)
        }
        return HttpResponse.of(HttpStatus.OK, "era" to revision)
    }

    private fun entriesUnder(request: HttpRequest): Map<String, Entry> {
        val prefix = request.query.substringAfter("under=").substringBefore('&')
        return entries.filterKeys { it.startsWith(prefix) }
    }

    private companion object {
        const val WATCH_MILLIS = 100L
    }
}

package linemast.jobs

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import linemast.cloud.MachineType
import linemast.settings.Team
import linemast.state.CommitResult
import linemast.state.Condition
import linemast.state.Item
import linemast.state.Priority
import linemast.state.Store
import linemast.state.StoreException
import linemast.state.Write
import linemast.wire.Cbor
import linemast.wire.HttpRequest
import linemast.wire.HttpResponse
import linemast.wire.MalformedException
import org.slf4j.LoggerFactory

/** Progress of jobs for display, as the leader last told it. */
fun interface ProgressView {
    /** Done and running tasks of a job, or null when nothing is known. */
    fun progressOf(id: String): Progress?
}

class Progress(val done: Int, val running: Int)

/**
 * The users' side: submissions, polls and cancellations, at any controller.
 *
 * Whatever is answered has been read from or committed to the store after the request arrived; only final
 * verdicts are remembered, since those never change.
 */
class JobDesk(
    private val store: Store,
    private val scope: CoroutineScope,
    private val teams: Map<String, Team>,
    private val types: () -> List<MachineType>?,
    private val progress: ProgressView,
    private val wallMicros: () -> Long,
    /** What a stored value may take, also under limits that are to come. */
    private val mostValueBytes: Int,
) {
    private val log = LoggerFactory.getLogger(JobDesk::class.java)
    private val finals = object : LinkedHashMap<String, VerdictRecord>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, VerdictRecord>) = size > MAX_FINALS
    }
    private val reads = HashMap<String, Read>()
    private val ancestry = Ancestry(::readVerdict)

    /** A read under way, and the one that those who came after its start wait for. */
    private class Read {
        var next: CompletableDeferred<Result<Item?>>? = null
    }

    suspend fun handle(request: HttpRequest): HttpResponse? {
        val path = request.path
        return when {
            path == JOBS_PATH -> if (request.method == "POST") guarded { submit(request) } else null
            !path.startsWith("$JOBS_PATH/") -> null
            request.method == "POST" && path.endsWith(CANCEL_SUFFIX) ->
                guarded { cancel(path.substring(JOBS_PATH.length + 1, path.length - CANCEL_SUFFIX.length)) }
            request.method == "GET" -> guarded { poll(path.substring(JOBS_PATH.length + 1)) }
            else -> null
        }
    }

    private suspend fun guarded(answer: suspend () -> HttpResponse): HttpResponse = try {
        answer()
    } catch (e: StoreException) {
        log.debug("turned away: {}", e.message)
        HttpResponse.unavailable()
    }

    private suspend fun submit(request: HttpRequest): HttpResponse {
        val spec = JobSpec.read(Cbor.decodeMap(request.body))
        finals[spec.id]?.let { return known(spec.id, it) }
        val machineTypes = types() ?: return HttpResponse.unavailable()
        if (!canEverRun(spec, machineTypes)) {
            // A job that was accepted once stays accepted, whatever the machine types have become since.
            val verdict = readVerdict(spec.id) ?: return HttpResponse.of(422, "error" to "this job can never run")
            return answer(spec.id, verdict)
        }
        if (spec.awaits.isEmpty()) return accept(spec.within(machineTypes), Verdict.OPEN)
        // A job that was accepted once is known whatever it names.
        readVerdict(spec.id)?.let { return answer(spec.id, it) }
        val awaited = spec.awaits.map { readVerdict(it) ?: return HttpResponse.of(422, "error" to "it awaits $it, which was never accepted") }
        return when {
            awaited.any { it.verdict == Verdict.WITHDRAWN } -> accept(spec.within(machineTypes), Verdict.WITHDRAWN)
            awaited.all { it.verdict == Verdict.DONE } -> accept(spec.within(machineTypes).copy(awaits = emptyList()), Verdict.OPEN)
            else -> accept(spec.within(machineTypes), Verdict.OPEN)
        }
    }

    private suspend fun accept(spec: JobSpec, verdict: Verdict): HttpResponse {
        val record = OpenRecord(spec, wallMicros(), opened = false, withdrawn = false).toMap()
        if (Cbor.jsonSize(record) > mostValueBytes) throw MalformedException("the job is too large to be kept")
        val writes = ArrayList<Write>()
        writes += Write.Put(JobKeys.verdict(spec.id), VerdictRecord(verdict, spec.pieces, spec.awaits).toMap())
        // One that awaits a job that was withdrawn is over as soon as it is known.
        if (!verdict.isFinal) writes += Write.Put(if (spec.awaits.isEmpty()) JobKeys.open(spec.id) else JobKeys.waiting(spec.id), record)
        val result = store.commit(listOf(Condition(JobKeys.verdict(spec.id), 0L)), writes, Priority.INTAKE)
        return when (result) {
            is CommitResult.Applied ->
                HttpResponse.of(201, "name_id" to spec.id, "status" to if (verdict.isFinal) WITHDRAWN_STATUS else "pending")
            is CommitResult.Conflict ->
                readVerdict(spec.id)?.let { answer(spec.id, it) } ?: HttpResponse.unavailable()
            is CommitResult.NoSuchHold -> HttpResponse.unavailable()
        }
    }

    private suspend fun poll(id: String): HttpResponse {
        if (!JobSpec.isId(id)) return HttpResponse(404)
        val verdict = readVerdict(id) ?: return HttpResponse(404)
        return answer(id, verdict)
    }

    /**
     * The answer to a question about a job: one that needs a withdrawn one is withdrawn with it, before that is said. Looking
     * takes reads of its own, so the verdict is read once more after them: it may have become final since.
     */
    private suspend fun answer(id: String, record: VerdictRecord): HttpResponse = when {
        record.verdict.isFinal || record.awaits.isEmpty() -> known(id, record)
        ancestry.hasWithdrawn(record) -> cancel(id)
        else -> known(id, readVerdict(id) ?: record)
    }

    private suspend fun cancel(id: String): HttpResponse {
        if (!JobSpec.isId(id)) return HttpResponse(404)
        repeat(CANCEL_TRIES) {
            val item = finals[id]?.let { return known(id, it) } ?: store.get(JobKeys.verdict(id), Priority.INTAKE) ?: return HttpResponse(404)
            val verdict = remember(id, stored { VerdictRecord.read(item.value) })
            if (verdict.verdict.isFinal) return known(id, verdict)
            // The leader lets a waiting job go by one transaction from one key to the other.
            val waits = verdict.awaits.isNotEmpty()
            val open = (if (waits) store.get(JobKeys.waiting(id), Priority.INTAKE) else null)
                ?: store.get(JobKeys.open(id), Priority.INTAKE) ?: return@repeat
            val withdrawn = VerdictRecord(Verdict.WITHDRAWN, verdict.pieces)
            val end = if (open.key == JobKeys.waiting(id)) {
                Write.Drop(open.key)
            } else {
                Write.Put(open.key, stored { OpenRecord.read(open) }.with(withdrawn = true).let { record -> types()?.let(record::within) ?: record }.toMap())
            }
            val result = store.commit(
                listOf(Condition(item.key, item.stamp), Condition(open.key, open.stamp)),
                listOf(Write.Put(item.key, withdrawn.toMap()), end),
                Priority.INTAKE,
            )
            if (result is CommitResult.Applied) return known(id, remember(id, withdrawn))
        }
        return HttpResponse.unavailable()
    }

    private fun known(id: String, record: VerdictRecord): HttpResponse {
        val shown = progress.progressOf(id)
        val status = when (record.verdict) {
            Verdict.DONE -> "done"
            Verdict.WITHDRAWN -> WITHDRAWN_STATUS
            Verdict.OPEN -> if (shown != null && shown.running > 0) "running" else "pending"
        }
        val done = if (record.verdict == Verdict.DONE) record.pieces else shown?.done ?: 0
        val running = if (record.verdict == Verdict.OPEN) shown?.running ?: 0 else 0
        return HttpResponse.of(200, "name_id" to id, "status" to status, "done" to done, "running" to running)
    }

    private fun remember(id: String, record: VerdictRecord): VerdictRecord {
        if (record.verdict.isFinal) finals[id] = record
        return record
    }

    /** The verdict in a read that began after this call; such reads are shared. */
    private suspend fun readVerdict(id: String): VerdictRecord? {
        finals[id]?.let { return it }
        val running = reads[id]
        val item = if (running == null) {
            val first = CompletableDeferred<Result<Item?>>()
            reads[id] = Read()
            scope.launch { readInTurn(id, first) }
            first.await()
        } else {
            (running.next ?: CompletableDeferred<Result<Item?>>().also { running.next = it }).await()
        }.getOrThrow() ?: return null
        return remember(id, stored { VerdictRecord.read(item.value) })
    }

    /** A record that cannot be read is the store's trouble: the user who asks must not be told 400 for it. */
    private inline fun <T> stored(read: () -> T): T = try {
        read()
    } catch (e: MalformedException) {
        log.error("malformed record in the store: {}", e.message)
        throw StoreException("malformed record", mayHaveRun = false)
    }

    private suspend fun readInTurn(id: String, first: CompletableDeferred<Result<Item?>>) {
        var waiting = first
        while (true) {
            try {
                waiting.complete(Result.success(store.get(JobKeys.verdict(id))))
            } catch (e: StoreException) {
                waiting.complete(Result.failure(e))
            } catch (e: CancellationException) {
                // The controller stops; that must not cancel those who only wait for this read.
                waiting.complete(Result.failure(StoreException("stopping", mayHaveRun = false)))
                throw e
            }
            val next = reads[id]?.next
            if (next == null) {
                reads.remove(id)
                return
            }
            reads[id] = Read()
            waiting = next
        }
    }

    private fun canEverRun(spec: JobSpec, machineTypes: List<MachineType>): Boolean {
        val team = teams[spec.crew] ?: return false
        val asOne = if (spec.isGang) spec.pieces else 1
        if (spec.vcpus * asOne > team.cpusMax || spec.gpus * asOne > team.gpusMax) return false
        return machineTypes.any { type ->
            type.takes(spec) && (spec.yard == null || type.yards.isEmpty() || spec.yard in type.yards)
        }
    }

    private companion object {
        const val WITHDRAWN_STATUS = "withdrawn"
        const val JOBS_PATH = "/v1/jobs"
        const val CANCEL_SUFFIX = "/cancel"
        const val CANCEL_TRIES = 4
        const val MAX_FINALS = 5_000
    }
}

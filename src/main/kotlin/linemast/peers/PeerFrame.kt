package linemast.peers

import linemast.domain.JobProgress
import linemast.serialization.MalformedException
import okio.Buffer
import java.io.EOFException

/**
 * What a controller tells the others once a second.
 *
 * Nothing here decides anything on its own: a fencing token only ever ends a term that is over already, and progress is
 * for display.
 */
class PeerFrame(
    val node: String,
    /** Highest fencing token the sender has heard of. */
    val fencingToken: Long,
    /** Whether the sender leads with that fencing token. */
    val isLeader: Boolean,
    /** Whether the state service answers the sender. */
    val storeWorks: Boolean,
    /** Whether workers have reported to the sender lately. */
    val workersAsk: Boolean,
    val progress: Map<String, JobProgress>,
) {
    /** The bytes on the wire. */
    fun encode(): Buffer {
        val out = Buffer()
        out.writeByte(VERSION)
        writeText(out, node)
        out.writeLong(fencingToken)
        out.writeByte((if (isLeader) LEADS else 0) or (if (storeWorks) STORE_WORKS else 0) or (if (workersAsk) WORKERS_ASK else 0))
        val shown = progress.entries.take(MAX_JOBS)
        out.writeShort(shown.size)
        for ((id, counts) in shown) {
            writeText(out, id)
            out.writeInt(counts.done)
            out.writeInt(counts.running)
        }
        return out
    }

    companion object {
        const val MAX_BYTES = 64 * 1024
        private const val VERSION = 1
        private const val LEADS = 1
        private const val STORE_WORKS = 2
        private const val WORKERS_ASK = 4
        private const val MAX_JOBS = 1_000
        private const val MAX_TEXT = 200

        /** Reads a frame; throws [MalformedException] for anything else. */
        fun decode(from: Buffer): PeerFrame = try {
            if (from.readByte().toInt() != VERSION) throw MalformedException("peer frame: unknown version")
            val node = readText(from)
            val fencingToken = from.readLong()
            val flags = from.readByte().toInt()
            val count = from.readShort().toInt()
            if (count !in 0..MAX_JOBS) throw MalformedException("peer frame: too many jobs")
            val progress = LinkedHashMap<String, JobProgress>(count * 2)
            repeat(count) { progress[readText(from)] = JobProgress(from.readInt(), from.readInt()) }
            if (!from.exhausted()) throw MalformedException("peer frame: too long")
            PeerFrame(node, fencingToken, flags and LEADS != 0, flags and STORE_WORKS != 0, flags and WORKERS_ASK != 0, progress)
        } catch (e: EOFException) {
            throw MalformedException("peer frame: too short")
        }

        private fun writeText(out: Buffer, text: String) {
            val bytes = text.encodeToByteArray()
            out.writeShort(bytes.size)
            out.write(bytes)
        }

        private fun readText(from: Buffer): String {
            val length = from.readShort().toInt()
            if (length !in 0..MAX_TEXT) throw MalformedException("peer frame: text too long")
            return from.readUtf8(length.toLong())
        }
    }
}

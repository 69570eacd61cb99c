package linemast.peers

import linemast.domain.JobProgress
import linemast.serialization.MalformedException
import okio.Buffer
import java.io.EOFException

/**
 * Encodes and decodes a [PeerStatus]: version, node name, fencing token, flags, then the progress of each job.
 *
 * Numbers are big-endian. A text is encoded as its length in two bytes, followed by its UTF-8 bytes.
 */
object PeerStatusCodec {
    /** Maximum size of an encoded status that a controller accepts. */
    const val MAX_BYTES = 64 * 1024
    private const val VERSION = 1
    private const val IS_LEADER_FLAG = 1
    private const val REACHES_STORE_FLAG = 2
    private const val RECEIVES_HEARTBEATS_FLAG = 4

    /** Controllers of earlier versions ignore this flag and never set it. */
    private const val ACKNOWLEDGES_CANCELLATIONS_FLAG = 8
    private const val MAX_JOBS = 1_000

    /** Returns the encoded status, without the length that precedes it on the wire. */
    fun encode(status: PeerStatus): Buffer {
        val out = Buffer()
        out.writeByte(VERSION)
        PeerText.write(out, status.nodeName)
        out.writeLong(status.fencingToken)
        out.writeByte(flagsOf(status))
        val progress = status.progress.entries.take(MAX_JOBS)
        out.writeShort(progress.size)
        for ((jobId, counts) in progress) {
            PeerText.write(out, jobId)
            out.writeInt(counts.completed)
            out.writeInt(counts.running)
        }
        return out
    }

    private fun flagsOf(status: PeerStatus): Int {
        var flags = 0
        if (status.isLeader) flags = flags or IS_LEADER_FLAG
        if (status.reachesStore) flags = flags or REACHES_STORE_FLAG
        if (status.receivesHeartbeats) flags = flags or RECEIVES_HEARTBEATS_FLAG
        if (status.acknowledgesCancellations) flags = flags or ACKNOWLEDGES_CANCELLATIONS_FLAG
        return flags
    }

    /** Decodes a status; throws a [MalformedException] if [from] does not hold exactly one status. */
    fun decode(from: Buffer): PeerStatus = try {
        if (from.readByte().toInt() != VERSION) malformed("unsupported version")
        val nodeName = PeerText.read(from)
        val fencingToken = from.readLong()
        val flags = from.readByte().toInt()
        val progress = readProgress(from)
        if (!from.exhausted()) malformed("bytes follow the last job")
        PeerStatus(
            nodeName = nodeName,
            fencingToken = fencingToken,
            isLeader = flags and IS_LEADER_FLAG != 0,
            reachesStore = flags and REACHES_STORE_FLAG != 0,
            receivesHeartbeats = flags and RECEIVES_HEARTBEATS_FLAG != 0,
            progress = progress,
            acknowledgesCancellations = flags and ACKNOWLEDGES_CANCELLATIONS_FLAG != 0,
        )
    } catch (e: EOFException) {
        malformed("the bytes end before the last job")
    }

    private fun readProgress(from: Buffer): Map<String, JobProgress> {
        val count = from.readShort().toInt()
        if (count !in 0..MAX_JOBS) malformed("the number of jobs is out of range")
        val progress = LinkedHashMap<String, JobProgress>(count * 2)
        repeat(count) { progress[PeerText.read(from)] = JobProgress(from.readInt(), from.readInt()) }
        return progress
    }

    private fun malformed(problem: String): Nothing = throw MalformedException("peer status: $problem")
}

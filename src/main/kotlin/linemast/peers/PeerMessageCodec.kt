package linemast.peers

import linemast.serialization.MalformedException
import okio.Buffer
import java.io.EOFException

/**
 * Encodes and decodes a [PeerMessage] by its version: a [PeerStatus] has the first version, see [PeerStatusCodec]. The second
 * version is for messages about one cancelled job: version, kind, node name, job id.
 *
 * Controllers of earlier versions close a connection on which they receive the second version, so it is sent only to controllers
 * whose status says that they acknowledge cancellations.
 */
object PeerMessageCodec {
    private const val CANCELLATION_VERSION = 2
    private const val NOTICE = 1
    private const val ACKNOWLEDGEMENT = 2

    /** Returns the encoded [message], without the length that precedes it on the wire. */
    fun encode(message: PeerMessage): Buffer = when (message) {
        is PeerStatus -> PeerStatusCodec.encode(message)
        is CancellationNotice -> encode(NOTICE, message.nodeName, message.jobId)
        is CancellationAcknowledgement -> encode(ACKNOWLEDGEMENT, message.nodeName, message.jobId)
    }

    private fun encode(kind: Int, nodeName: String, jobId: String): Buffer {
        val out = Buffer()
        out.writeByte(CANCELLATION_VERSION)
        out.writeByte(kind)
        PeerText.write(out, nodeName)
        PeerText.write(out, jobId)
        return out
    }

    /** Decodes a message; throws a [MalformedException] if [from] does not hold exactly one message of a known version. */
    fun decode(from: Buffer): PeerMessage =
        if (!from.exhausted() && from[0].toInt() == CANCELLATION_VERSION) decodeCancellation(from) else PeerStatusCodec.decode(from)

    private fun decodeCancellation(from: Buffer): PeerMessage = try {
        from.skip(1)
        val kind = from.readByte().toInt()
        val nodeName = PeerText.read(from)
        val jobId = PeerText.read(from)
        if (!from.exhausted()) throw MalformedException("peer message: bytes follow the job id")
        when (kind) {
            NOTICE -> CancellationNotice(nodeName, jobId)
            ACKNOWLEDGEMENT -> CancellationAcknowledgement(nodeName, jobId)
            else -> throw MalformedException("peer message: unknown kind")
        }
    } catch (e: EOFException) {
        throw MalformedException("peer message: the bytes end before the job id")
    }
}

/** Encodes and decodes a text in a peer message: its length in two bytes, followed by its UTF-8 bytes. */
internal object PeerText {
    private const val MAX_BYTES = 200

    /** Appends [text] to [out]. */
    fun write(out: Buffer, text: String) {
        val bytes = text.encodeToByteArray()
        out.writeShort(bytes.size)
        out.write(bytes)
    }

    /** Reads a text; throws a [MalformedException] if its length is out of range and an [EOFException] if it is incomplete. */
    fun read(from: Buffer): String {
        val length = from.readShort().toInt()
        if (length !in 0..MAX_BYTES) throw MalformedException("peer message: the length of a text is out of range")
        return from.readUtf8(length.toLong())
    }
}

package linemast.leadership

import linemast.serialization.Fields

/**
 * The stored value of [LeaderKeys.LEADER].
 *
 * @property nodeName name of the controller that leads; null if the record does not hold it.
 * @property fencingToken fencing token of the leader's term; 0 if the record does not hold it.
 */
data class LeaderRecord(val nodeName: String?, val fencingToken: Long)

/** Encodes and decodes the values of the keys in [LeaderKeys]; throws a MalformedException for fields of another type. */
internal object LeaderRecordCodec {
    fun encode(record: LeaderRecord): Map<String, Any?> = mapOf("node" to record.nodeName, "helm" to record.fencingToken)

    fun decode(fields: Fields) = LeaderRecord(decodeNodeName(fields), fields.longOrNull("helm") ?: 0L)

    /** Reads the name of the leader alone, even if the rest of the record is malformed. */
    fun decodeNodeName(fields: Fields): String? = fields.textOrNull("node")

    /** Encodes the value of [LeaderKeys.FENCING_TOKEN]. */
    fun encodeFencingToken(fencingToken: Long): Map<String, Any?> = mapOf("n" to fencingToken)

    fun decodeFencingToken(fields: Fields): Long = fields.long("n")
}

package linemast.recovery

import linemast.domain.TaskAttempt
import java.util.EnumMap

/** Counts what a new leader has found and ordered until all that earlier ones started is accounted for; pure. */
class RecoveryStatistics {
    /** Kinds of differences between what workers report and what the store holds. */
    enum class Difference {
        /** A task that goes on as it is. */
        ADOPTED,

        /** A result that the store did not have. */
        RESULT,

        /** A task or result of a job that the leader does not know. */
        UNKNOWN,

        /** A task that was lost with its machine, or is missing there. */
        LOST,
    }

    /** Kinds of orders to workers. */
    enum class Order { START, STOP, ACKNOWLEDGE }

    private val differences = EnumMap<Difference, Int>(Difference::class.java)
    private val orders = EnumMap<Order, Int>(Order::class.java)
    private val unknown = HashSet<TaskAttempt>()
    private val heard = HashSet<String>()

    /** Workers that have reported. */
    val heardCount: Int get() = heard.size

    /** A worker has reported. */
    fun heard(machineName: String) {
        heard += machineName
    }

    /** A difference was found. */
    fun found(difference: Difference) {
        differences.merge(difference, 1, Int::plus)
    }

    /** A worker reports something of a job that the leader does not know; it is counted once. */
    fun foundUnknown(task: TaskAttempt) {
        if (unknown.add(task)) found(Difference.UNKNOWN)
    }

    /** An order has left. */
    fun ordered(order: Order, count: Int = 1) {
        if (count > 0) orders.merge(order, count, Int::plus)
    }

    /** How many of a difference were found. */
    fun count(difference: Difference): Int = differences[difference] ?: 0

    /** How many of an order have left. */
    fun count(order: Order): Int = orders[order] ?: 0

    /** The counts in words. */
    fun summary(): String = "${heard.size} workers heard; " +
        Difference.entries.joinToString { "${count(it)} ${it.name.lowercase()}" } + "; orders: " +
        Order.entries.joinToString { "${count(it)} ${it.name.lowercase()}" }
}

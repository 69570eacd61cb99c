package linemast.duties

/**
 * Returns that an earlier leader committed and whose end is not stored; pure.
 *
 * The cloud may have carried them out, may do so at any moment, or may never have been asked. So their machines get no
 * new work, and are given back as soon as no work is on them.
 */
class PendingScaleIns(inherited: List<StoredIntent>) {
    private class Pending(val stored: StoredIntent, val names: LinkedHashSet<String>)

    private val pending = inherited.mapNotNull { stored ->
        (stored.intent.action as? CloudAction.ScaleIn)?.let { Pending(stored, LinkedHashSet(it.names)) }
    }.toMutableList()
    private val underWay = HashSet<String>()

    /** Machines that are not given back yet. */
    val names: Set<String> get() = pending.flatMapTo(LinkedHashSet()) { it.names }

    val isOver: Boolean get() = pending.isEmpty()

    /** Machines to be given back now, at most [most]: those of which [isFree] says that no work is on them. */
    fun next(most: Int, isFree: (String) -> Boolean): List<String> {
        val free = names.filter { it !in underWay && isFree(it) }.take(most)
        underWay += free
        return free
    }

    /** The cloud has confirmed the return of [names]; the intents that have ended by that. */
    fun confirmed(names: List<String>): List<StoredIntent> {
        underWay -= names.toSet()
        for (entry in pending) entry.names -= names.toSet()
        val over = pending.filter { it.names.isEmpty() }
        pending -= over.toSet()
        return over.map { it.stored }
    }
}

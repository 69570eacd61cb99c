package linemast.duties

/**
 * Scale-ins that previous leaders committed and did not close. Makes no calls and is not thread-safe.
 *
 * The cloud may have carried them out, may do so at any moment, or may never have been asked. Their machines therefore get
 * no new tasks, and are removed as soon as no task is on them.
 */
class PendingScaleIns(openIntents: List<StoredIntent>) {
    /** The scale-in intent [stored], with its [action]. */
    class ScaleInIntent(val stored: StoredIntent, val action: CloudAction.ScaleIn) {
        internal val unconfirmed = LinkedHashSet(action.names)
    }

    private val pending = openIntents.mapNotNull { stored ->
        (stored.intent.action as? CloudAction.ScaleIn)?.let { ScaleInIntent(stored, it) }
    }.toMutableList()

    /** Machines whose removal has been started and not confirmed. */
    private val inProgress = HashSet<String>()

    /** Machines whose removal is not confirmed. */
    val unconfirmedNames: Set<String> get() = pending.flatMapTo(LinkedHashSet()) { it.unconfirmed }

    /** Whether all removals are confirmed. */
    val isEmpty: Boolean get() = pending.isEmpty()

    /** Starts the removal of at most [maxCount] machines of which [isFree] says that no task is on them; their names. */
    fun startNext(maxCount: Int, isFree: (String) -> Boolean): List<String> {
        val free = unconfirmedNames.filter { it !in inProgress && isFree(it) }.take(maxCount)
        inProgress += free
        return free
    }

    /** The cloud has confirmed the removal of [names]; returns the intents that are completed by that. */
    fun confirm(names: List<String>): List<ScaleInIntent> {
        inProgress -= names.toSet()
        for (intent in pending) intent.unconfirmed -= names.toSet()
        val completed = pending.filter { it.unconfirmed.isEmpty() }
        pending -= completed.toSet()
        return completed
    }
}

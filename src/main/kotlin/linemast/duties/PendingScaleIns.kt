package linemast.duties

/**
 * Scale-ins that previous leaders committed and did not close. Makes no calls and is not thread-safe.
 *
 * The cloud may have carried out such a scale-in, may carry it out at any time, or may never have received the call. Therefore
 * its machines get no new tasks, and each machine is removed as soon as no task is on it.
 */
class PendingScaleIns(openIntents: List<StoredIntent>) {
    /** A [stored] intent with its scale-in [action]. */
    class ScaleInIntent(val stored: StoredIntent, val action: CloudAction.ScaleIn) {
        internal val unconfirmed = LinkedHashSet(action.names)
    }

    private val pending = openIntents.mapNotNull { stored ->
        (stored.intent.action as? CloudAction.ScaleIn)?.let { ScaleInIntent(stored, it) }
    }.toMutableList()

    /** Machines whose removal is started but not confirmed. */
    private val inProgress = HashSet<String>()

    /** Machines whose removal is not confirmed, whether started or not. */
    val unconfirmedNames: Set<String> get() = pending.flatMapTo(LinkedHashSet()) { it.unconfirmed }

    /** Whether all removals are confirmed. */
    val isEmpty: Boolean get() = pending.isEmpty()

    /** Starts the removal of at most [maxCount] machines without tasks, according to [isFree]; returns their names. */
    fun startNext(maxCount: Int, isFree: (String) -> Boolean): List<String> {
        val free = unconfirmedNames.filter { it !in inProgress && isFree(it) }.take(maxCount)
        inProgress += free
        return free
    }

    /** Records that the cloud has confirmed the removal of [names]; returns the intents that this completes. */
    fun confirm(names: List<String>): List<ScaleInIntent> {
        inProgress -= names.toSet()
        for (intent in pending) intent.unconfirmed -= names.toSet()
        val completed = pending.filter { it.unconfirmed.isEmpty() }
        pending -= completed.toSet()
        return completed
    }
}

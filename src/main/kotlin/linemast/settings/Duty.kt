package linemast.settings

/** A kind of cloud action that only the current leader may begin; [storedName] is its name in the store and in settings. */
enum class Duty(val storedName: String) {
    /** Adding machines. */
    SCALE_OUT("rent"),

    /** Removing idle machines. */
    SCALE_IN("return"),

    /** Removing machines that the fleet has lost: unreachable, quarantined, preempted or missing ones. */
    RECLAIM("reclaim"),

    /** Deleting the remains of machines that have failed, were preempted without notice, or did not start. */
    CLEAN_UP("clean-up"),
    ;

    /** Lookup by the stored name. */
    companion object {
        private val byStoredName = entries.associateBy { it.storedName }

        /** The duty stored as [storedName]; null if there is none. */
        fun of(storedName: String): Duty? = byStoredName[storedName]
    }
}

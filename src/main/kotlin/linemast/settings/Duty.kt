package linemast.settings

/** A kind of cloud action that only the current leader may begin. [storedName] is its name in the store and in the settings. */
enum class Duty(val storedName: String) {
    /** Adds machines. */
    SCALE_OUT("rent"),

    /** Removes idle machines. */
    SCALE_IN("return"),

    /** Removes machines that are lost to the fleet because they are unreachable, quarantined, preempted or missing. */
    RECLAIM("reclaim"),

    /** Deletes the remains of machines that failed, were preempted without notice, or did not start. */
    CLEAN_UP("clean-up"),
    ;

    /** Looks duties up by their stored name. */
    companion object {
        private val byStoredName = entries.associateBy { it.storedName }

        /** Returns the duty with the given stored name; null if there is none. */
        fun of(storedName: String): Duty? = byStoredName[storedName]
    }
}

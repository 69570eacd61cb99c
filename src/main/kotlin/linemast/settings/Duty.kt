package linemast.settings

/** A kind of action at the cloud that only the current leader may take; [stored] is its name in the store and in settings. */
enum class Duty(val stored: String) {
    /** Renting machines. */
    SCALE_OUT("rent"),

    /** Giving back machines that nobody needs any more. */
    SCALE_IN("return"),

    /** Taking machines out of the fleet that are lost to it: silent, deaf, faulty, preempted or absent ones. */
    RECLAIM("reclaim"),

    /** Deleting what is left of machines that have stopped, were taken, or never came up. */
    CLEAN_UP("clean-up"),
    ;

    companion object {
        private val byStored = entries.associateBy { it.stored }

        /** The duty called [stored]; null if there is none. */
        fun of(stored: String): Duty? = byStored[stored]
    }
}

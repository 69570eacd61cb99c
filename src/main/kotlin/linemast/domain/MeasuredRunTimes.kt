package linemast.domain

/** Run times of a job's completed tasks, to be compared with its owner's estimate. */
class MeasuredRunTimes {
    private var totalMicros = 0L

    /** Number of tasks whose run time was added. */
    var taskCount = 0
        private set

    /** Average run time of one task; there must be at least one. */
    val averageMicros: Long get() = totalMicros / taskCount

    /** Adds the run time of one task. */
    fun add(runMicros: Long) {
        totalMicros += runMicros
        taskCount++
    }
}

package linemast.domain

/** Run times of a job's completed tasks, which are compared with the user's estimate. */
class MeasuredRunTimes {
    private var totalMicros = 0L

    /** Number of tasks whose run time was added. */
    var taskCount = 0
        private set

    /** Average run time of one task; [taskCount] must not be 0. */
    val averageMicros: Long get() = totalMicros / taskCount

    /** Adds the run time of one task. */
    fun add(runMicros: Long) {
        totalMicros += runMicros
        taskCount++
    }
}

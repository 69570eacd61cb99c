package linemast.domain

/** Counts of a job's tasks, for display only. */
class JobProgress(val done: Int, val running: Int)

package linemast.domain

/**
 * Progress of a job, for display only.
 *
 * @property completed number of tasks that have run to completion.
 * @property running number of tasks that are running.
 */
class JobProgress(val completed: Int, val running: Int)

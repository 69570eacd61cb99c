package linemast.domain

/** Of a job's tasks [completed] have run to completion and [running] run now; for display only. */
class JobProgress(val completed: Int, val running: Int)

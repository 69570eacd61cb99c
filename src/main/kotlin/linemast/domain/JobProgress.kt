package linemast.domain

/** Of a job's tasks [done] have run to completion and [running] run now; for display only. */
class JobProgress(val done: Int, val running: Int)

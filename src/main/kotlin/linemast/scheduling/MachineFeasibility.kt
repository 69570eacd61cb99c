package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine

/** Whether tasks of [job] may run on this machine, whatever is free there: its shape is allowed, and none has failed there. */
internal fun Machine.isFeasibleFor(job: Job): Boolean = allows(job.spec) && name !in job.failedOn

/** Whether a task of [job] may run on this machine and fits what is free there. */
internal fun Machine.canPlace(job: Job): Boolean = fits(job) && isFeasibleFor(job)

package linemast.scheduling

import linemast.domain.Job
import linemast.domain.Machine

/** Whether tasks of [job] may run on this machine, regardless of free capacity: its shape is allowed, and none has failed here lately. */
internal fun Machine.isFeasibleFor(job: Job): Boolean = allows(job.spec) && !job.failures.isExcluded(name)

/** Whether a task of [job] may run on this machine and fits its free capacity. */
internal fun Machine.canPlace(job: Job): Boolean = fits(job) && isFeasibleFor(job)

package linemast

import linemast.domain.JobSpec
import linemast.jobs.JobSpecCodec
import linemast.serialization.Fields

/** Returns an array job of one small task without placement constraints; [fields] replace or extend the default fields. */
internal fun testSpec(id: String, vararg fields: Pair<String, Any?>): JobSpec = JobSpecCodec.decode(
    Fields(
        mapOf(
            "name_id" to id, "lane" to "lane", "crew" to "team", "shape" to "sweep", "urgency" to "normal", "pieces" to 1, "vcpus" to 1.0,
            "gpus" to 0.0, "memory_gb" to 1.0, "bundle" to "img", "pull_gb" to 1.0, "same_place" to false, "apart" to false,
            "loaners" to true, "guess_s" to 30.0, "mark_every_s" to 0.0, "mark_s" to 0.0, "due_s" to 600.0,
        ) + fields,
    ),
)

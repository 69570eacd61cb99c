package linemast.autoscaling

import linemast.cloud.ScaleInBatch
import linemast.cloud.ScaleOutRequest

/** What the autoscaler wants from the cloud now. */
class ScalingActions(
    /** Requests for machines, most urgent first. */
    val scaleOuts: List<ScaleOutRequest>,
    /** Machines to be removed. */
    val scaleIns: ScaleInBatch,
) {
    /** Shared values. */
    companion object {
        /** Nothing to be done. */
        val NONE = ScalingActions(emptyList(), ScaleInBatch.EMPTY)
    }
}

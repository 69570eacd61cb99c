package linemast.autoscaling

import linemast.cloud.ScaleInBatch
import linemast.cloud.ScaleOutRequest

/** The actions that the autoscaler has decided on, to be carried out at the cloud now. */
class ScalingActions(
    /** Scale-out requests, most urgent first. */
    val scaleOuts: List<ScaleOutRequest>,
    /** Machines to scale in. */
    val scaleIns: ScaleInBatch,
) {
    /** Shared values. */
    companion object {
        /** No actions. */
        val NONE = ScalingActions(emptyList(), ScaleInBatch.EMPTY)
    }
}

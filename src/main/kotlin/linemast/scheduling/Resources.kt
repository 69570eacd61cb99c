package linemast.scheduling

/** An amount of vcpus and gpus. */
internal data class Resources(val vcpus: Double, val gpus: Double)

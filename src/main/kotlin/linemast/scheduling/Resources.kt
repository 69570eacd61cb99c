package linemast.scheduling

/** An amount of vcpus and gpus. */
internal data class Resources(val vcpus: Double, val gpus: Double)

/** Amounts that differ by less than this count as equal, since sums of fractions are subject to rounding errors. */
internal const val ROUNDING_TOLERANCE = 1e-6

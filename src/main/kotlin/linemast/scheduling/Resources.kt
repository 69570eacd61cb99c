package linemast.scheduling

/** An amount of vcpus and gpus. */
internal data class Resources(val vcpus: Double, val gpus: Double)

/** Amounts that differ by less are equal: they are sums of fractions. */
internal const val ROUNDING_TOLERANCE = 1e-6

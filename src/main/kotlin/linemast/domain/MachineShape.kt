package linemast.domain

/**
 * The properties of a machine that decide which jobs may be placed on it.
 *
 * A fleet of any size has a few shapes only.
 *
 * @property type machine type.
 * @property zone zone of the cloud.
 * @property spot whether the machines are spot machines, which the cloud may preempt.
 */
data class MachineShape(val type: MachineType, val zone: String, val spot: Boolean) {
    /** Whether a task of [spec] may ever run on a machine of this shape, whatever resources are free. */
    fun allows(spec: JobSpec): Boolean = type.canHost(spec) && (spec.allowsSpot || !spot) && (spec.zone == null || spec.zone == zone)
}

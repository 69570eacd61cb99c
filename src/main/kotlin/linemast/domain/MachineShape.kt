package linemast.domain

/**
 * What machines have in common as far as placing a job goes: a few shapes stand for a fleet of any size.
 *
 * @property type machine type.
 * @property zone zone of the cloud.
 * @property spot whether they are spot machines, which the cloud may preempt.
 */
data class MachineShape(val type: MachineType, val zone: String, val spot: Boolean) {
    /** Whether a task of [spec] may be on such a machine at all. */
    fun allows(spec: JobSpec): Boolean = type.canHost(spec) && (spec.allowsSpot || !spot) && (spec.zone == null || spec.zone == zone)
}

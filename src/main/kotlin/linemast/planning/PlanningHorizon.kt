package linemast.planning

/**
 * The time that plans cover: [intervals] long intervals of [intervalMicros] each, beginning at [startMicros] on the steady clock.
 */
internal class PlanningHorizon(val startMicros: Long, val intervalMicros: Long, val intervals: Int)

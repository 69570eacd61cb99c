package linemast.planning

/**
 * The time that plans cover: [intervals] long intervals of [intervalMicros] each, beginning at [startMicros] on the steady clock. A long
 * interval is the time between two plans of all jobs.
 */
internal class PlanningHorizon(val startMicros: Long, val intervalMicros: Long, val intervals: Int)

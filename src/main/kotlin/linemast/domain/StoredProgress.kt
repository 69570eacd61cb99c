package linemast.domain

import java.util.BitSet

/** How much of a job's set of completed tasks is stored. The set is stored in parts of a fixed number of tasks. */
class StoredProgress {
    /** Parts that changed since they were last written. */
    val dirtyParts = BitSet()

    /** Whether a write of the job's progress or of its end is under way. */
    var isWriting = false

    /** When the last write of progress began; 0 if there was none. */
    var lastWriteMicros = 0L

    /** Revisions of the stored parts: each write builds on them, so that a late one cannot undo a newer one. */
    val partRevisions = HashMap<Int, Long>()
}

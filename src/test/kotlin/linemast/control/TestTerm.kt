package linemast.control

import kotlinx.coroutines.CoroutineScope
import linemast.leadership.LeaderLease
import linemast.settings.StoreLimits
import linemast.store.KeyValueStore
import linemast.time.Clock

/** Creates a term whose lease expects the leader record at revision 2 in [store]; its event loop runs actions at once. */
internal fun testTerm(store: KeyValueStore, scope: CoroutineScope, clock: Clock, limits: StoreLimits) = LeaderTerm(
    store,
    LeaderLease(1, revision = 2, leaderLeaseMicros = 60_000_000, degradedModeMicros = 0, sentMicros = 0),
    scope,
    eventLoop = { action -> action() },
    clock,
    wallMicros = clock::nowMicros,
    limits,
)

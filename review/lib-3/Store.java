import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The state service, after PROTOCOL-linemast.md. Each controller has a port of its own, so that faults can be given to one of them. */
final class Store {
    private record Entry(Object value, long stamp, long hold) {}

    private record Change(String key, Object value, long stamp) {}

    private static final class Hold {
        long lifeNanos;
        long endNanos;
    }

    /** Puts an entry that the store has held from before. */
    synchronized void seed(String key, Map<String, Object> value) {
        era++;
        change(key, value, 0);
    }

    /** Decides what happens to a commit; called without the lock. */
    interface CommitHook {
        /** Returns false if the caller gets no answer. Calls [apply] when the transaction is to be applied. */
        boolean onCommit(String node, List<Map<String, Object>> writes, Runnable apply) throws Exception;
    }

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Map<Long, Hold> holds = new HashMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private long era = 1;
    private long droppedUpTo = 0;
    private long lastHold = 0;

    double rps = 100;
    double writeRps = 30;
    int valueKb = 16;
    int txnOps = 16;
    volatile long latencyMillis = 5;
    volatile boolean outage = false;
    final Set<String> refused = java.util.concurrent.ConcurrentHashMap.newKeySet();
    volatile CommitHook hook = null;
    volatile int refusals429 = 0;
    volatile int badRequests = 0;

    private double requestTokens = 100;
    private double writeTokens = 30;
    private long lastRefill = System.nanoTime();

    Store() {
        Http.daemon("holds", () -> {
            while (true) {
                try {
                    Thread.sleep(20);
                } catch (InterruptedException e) {
                    return;
                }
                expire();
            }
        });
    }

    void listen(int port, String node) throws java.io.IOException {
        Http.serve(port, request -> handle(node, request));
    }

    synchronized void endOutage() {
        outage = false;
        long now = System.nanoTime();
        for (Hold hold : holds.values()) hold.endNanos = now + hold.lifeNanos;
        notifyAll();
    }

    @SuppressWarnings("unchecked")
    synchronized Map<String, Object> value(String key) {
        Entry entry = entries.get(key);
        return entry == null ? null : (Map<String, Object>) entry.value;
    }

    synchronized List<String> keysUnder(String prefix) {
        return new ArrayList<>(entries.subMap(prefix, prefix + "\uffff").keySet());
    }

    private synchronized void expire() {
        if (outage) return;
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        holds.forEach((id, hold) -> { if (now - hold.endNanos >= 0) ended.add(id); });
        ended.forEach(this::end);
    }

    private void end(long id) {
        holds.remove(id);
        List<String> keys = new ArrayList<>();
        entries.forEach((key, entry) -> { if (entry.hold == id) keys.add(key); });
        if (keys.isEmpty()) return;
        era++;
        for (String key : keys) change(key, null, 0);
        notifyAll();
    }

    private void change(String key, Object value, long hold) {
        if (value == null) {
            if (entries.remove(key) == null) return;
        } else {
            entries.put(key, new Entry(value, era, hold));
        }
        changes.addLast(new Change(key, value, era));
        while (changes.size() > 10_000) droppedUpTo = changes.removeFirst().stamp;
    }

    private final java.util.concurrent.atomic.AtomicLong calls = new java.util.concurrent.atomic.AtomicLong();

    long calls() {
        return calls.get();
    }

    private synchronized boolean take(int writes) {
        calls.incrementAndGet();
        long now = System.nanoTime();
        double seconds = (now - lastRefill) / 1e9;
        lastRefill = now;
        requestTokens = Math.min(rps, requestTokens + seconds * rps);
        writeTokens = Math.min(writeRps, writeTokens + seconds * writeRps);
        if (requestTokens < 1 || (writes > 0 && writeTokens < writes)) {
            refusals429++;
            return false;
        }
        requestTokens -= 1;
        writeTokens -= writes;
        return true;
    }

    private boolean isRefused(String node) {
        return outage || refused.contains(node);
    }

    @SuppressWarnings("unchecked")
    private Http.Response handle(String node, Http.Request request) throws Exception {
        Thread.sleep(latencyMillis);
        if (isRefused(node)) return Http.Response.of(503);
        String path = request.path();
        if (path.equals("/commit")) {
            Map<String, Object> body = Cbor.decodeMap(request.body());
            List<Map<String, Object>> when = list(body.get("when"));
            List<Map<String, Object>> writes = list(body.get("writes"));
            if (!take(writes.size())) return Http.Response.of(429);
            boolean tooLarge = writes.size() > txnOps || when.size() > 4 * txnOps || Cbor.jsonSize(body) > 64 * 1024;
            for (Map<String, Object> write : writes) {
                if (write.get("v") != null && Cbor.jsonSize(write.get("v")) > valueKb * 1024) tooLarge = true;
            }
            if (tooLarge) {
                badRequests++;
                System.err.println("store: 400 for " + body);
                return Http.Response.of(400, "error", "too large");
            }
            Http.Response[] result = new Http.Response[1];
            CommitHook commitHook = hook;
            if (commitHook == null) return commit(when, writes);
            return commitHook.onCommit(node, writes, () -> result[0] = commit(when, writes)) ? result[0] : null;
        }
        if (!take(0)) return Http.Response.of(429);
        if (path.equals("/follow")) return follow(node, request);
        if (path.startsWith("/holds")) return holds(request);
        if (path.equals("/keys")) return list(request);
        return get(path.substring("/keys/".length()));
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> list(Object value) {
        return value == null ? List.of() : (List<Map<String, Object>>) value;
    }

    private synchronized Http.Response get(String key) {
        Entry entry = entries.get(key);
        if (entry == null) return Http.Response.of(404, "era", era);
        Map<String, Object> body = Cbor.map("k", key, "v", entry.value, "stamp", entry.stamp);
        if (entry.hold != 0) body.put("hold", entry.hold);
        return new Http.Response(200, Cbor.encode(body));
    }

    private synchronized Http.Response list(Http.Request request) {
        String under = request.param("under");
        String after = request.param("after");
        int limit = Math.min(1000, Integer.parseInt(request.param("limit") == null ? "1000" : request.param("limit")));
        List<Object> pairs = new ArrayList<>();
        int size = 0;
        boolean truncated = false;
        for (Map.Entry<String, Entry> e : entries.tailMap(under).entrySet()) {
            if (!e.getKey().startsWith(under)) break;
            if (after != null && e.getKey().compareTo(after) <= 0) continue;
            Map<String, Object> pair = Cbor.map("k", e.getKey(), "v", e.getValue().value, "stamp", e.getValue().stamp);
            size += Cbor.jsonSize(pair);
            if (pairs.size() == limit || size > 512 * 1024) {
                truncated = true;
                break;
            }
            pairs.add(pair);
        }
        return Http.Response.of(200, "pairs", pairs, "truncated", truncated, "era", era);
    }

    private synchronized Http.Response holds(Http.Request request) {
        String[] parts = request.path().split("/");
        if (parts.length == 2) {
            Hold hold = new Hold();
            hold.lifeNanos = ((Number) Cbor.decodeMap(request.body()).get("life_ms")).longValue() * 1_000_000;
            hold.endNanos = System.nanoTime() + hold.lifeNanos;
            holds.put(++lastHold, hold);
            return Http.Response.of(200, "hold", lastHold);
        }
        long id = Long.parseLong(parts[2]);
        Hold hold = holds.get(id);
        if (hold == null || System.nanoTime() - hold.endNanos >= 0) return Http.Response.of(404);
        if (request.method().equals("DELETE")) end(id); else hold.endNanos = System.nanoTime() + hold.lifeNanos;
        return Http.Response.of(200, "hold", id);
    }

    private synchronized Http.Response commit(List<Map<String, Object>> when, List<Map<String, Object>> writes) {
        for (Map<String, Object> write : writes) {
            Object hold = write.get("hold");
            if (hold != null && !holds.containsKey(((Number) hold).longValue())) return Http.Response.of(400, "error", "no such lease");
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> condition : when) {
            Entry entry = entries.get((String) condition.get("k"));
            if ((entry == null ? 0 : entry.stamp) != ((Number) condition.get("stamp")).longValue()) failed.add(condition.get("k"));
        }
        if (!failed.isEmpty()) return Http.Response.of(409, "failed", failed, "era", era);
        if (!writes.isEmpty()) era++;
        for (Map<String, Object> write : writes) {
            if (write.get("put") != null) {
                Object hold = write.get("hold");
                change((String) write.get("put"), write.get("v"), hold == null ? 0 : ((Number) hold).longValue());
            } else {
                change((String) write.get("drop"), null, 0);
            }
        }
        notifyAll();
        return Http.Response.of(200, "era", era);
    }

    private synchronized Http.Response follow(String node, Http.Request request) throws InterruptedException {
        String under = request.param("under");
        long after = Long.parseLong(request.param("after"));
        long waitMillis = request.param("wait_ms") == null ? 0 : Long.parseLong(request.param("wait_ms"));
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            if (!isRefused(node)) {
                if (after < droppedUpTo) return Http.Response.of(410);
                List<Object> news = new ArrayList<>();
                for (java.util.Iterator<Change> it = changes.descendingIterator(); it.hasNext(); ) {
                    Change change = it.next();
                    if (change.stamp <= after) break;
                    if (!change.key.startsWith(under)) continue;
                    news.add(0, change.value == null ? Cbor.map("drop", change.key, "stamp", change.stamp)
                        : Cbor.map("put", change.key, "v", change.value, "stamp", change.stamp));
                }
                if (!news.isEmpty() || System.nanoTime() - end >= 0) return Http.Response.of(200, "era", era, "news", news);
            }
            wait(Math.max(1, Math.min(100, (end - System.nanoTime()) / 1_000_000 + 1)));
        }
    }
}

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service: a small consistent store as PROTOCOL-linemast.md describes it. Each controller has an address of its own. */
final class Store {
    enum Mode {
        /** Answers. */
        UP,
        /** Refuses every request of this controller with 503; open watches wait. */
        REFUSE,
        /** Does not answer: a request waits until the mode ends, and is then carried out. */
        SILENT,
    }

    static final class Item {
        Object value;
        long stamp;
        Long hold;
    }

    private static final class Change {
        String key;
        Object value;
        long stamp;
    }

    private static final class Hold {
        long lifeMillis;
        long endNanos;
    }

    /** What a test does before a request is carried out. */
    interface Tap {
        /** Returns 0 to answer, 1 to lose the answer, or more: in how many milliseconds it is carried out, without an answer. */
        int pass(int node, Http.Request request) throws Exception;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Hold> holds = new HashMap<>();
    private long era = 0;
    private long lastHold = 0;
    private final Mode[] modes;
    final int[] ports;
    volatile Tap tap;

    Store(int nodes) throws Exception {
        modes = new Mode[nodes];
        ports = new int[nodes];
        for (int i = 0; i < nodes; i++) {
            int node = i;
            modes[i] = Mode.UP;
            var listener = Http.listen();
            ports[i] = listener.getLocalPort();
            Http.serve(listener, request -> handle(node, request));
        }
        Http.thread(() -> {
            while (true) {
                Thread.sleep(20);
                expire();
            }
        });
    }

    synchronized void setMode(int node, Mode mode) {
        boolean wasOut = isOut();
        modes[node] = mode;
        // After an outage every lease again has its full time.
        if (wasOut && !isOut()) holds.values().forEach(h -> h.endNanos = System.nanoTime() + h.lifeMillis * 1_000_000L);
        notifyAll();
    }

    void setModes(Mode mode) {
        for (int i = 0; i < modes.length; i++) setMode(i, mode);
    }

    private boolean isOut() {
        for (Mode mode : modes) if (mode == Mode.UP) return false;
        return true;
    }

    private synchronized void expire() {
        if (isOut()) return;
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        holds.forEach((id, hold) -> { if (now > hold.endNanos) ended.add(id); });
        ended.forEach(this::end);
    }

    private void end(long id) {
        holds.remove(id);
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> { if (item.hold != null && item.hold == id) keys.add(key); });
        if (keys.isEmpty()) return;
        era++;
        for (String key : keys) {
            items.remove(key);
            record(key, null);
        }
        notifyAll();
    }

    private void record(String key, Object value) {
        Change change = new Change();
        change.key = key;
        change.value = value;
        change.stamp = era;
        changes.add(change);
        if (changes.size() > 12_000) changes.subList(0, 2_000).clear();
    }

    /** Returns the value of a key; null if there is none. */
    @SuppressWarnings("unchecked")
    synchronized Map<String, Object> peek(String key) {
        Item item = items.get(key);
        return item == null ? null : (Map<String, Object>) item.value;
    }

    synchronized int count(String prefix) {
        return (int) items.tailMap(prefix, false).keySet().stream().takeWhile(k -> k.startsWith(prefix)).count();
    }

    private Http.Response handle(int node, Http.Request request) throws Exception {
        synchronized (this) {
            while (modes[node] == Mode.SILENT) wait();
            if (modes[node] == Mode.REFUSE) return Http.Response.of(503, "error", "trouble");
        }
        Tap current = tap;
        int verdict = current == null ? 0 : current.pass(node, request);
        if (verdict > 1) {
            Http.thread(() -> {
                Thread.sleep(verdict);
                route(node, request);
            });
        }
        Http.Response response = verdict > 1 ? null : route(node, request);
        if (verdict > 0) {
            // The client waits in vain.
            Thread.sleep(10_000);
            return null;
        }
        return response;
    }

    Http.Response route(int node, Http.Request request) throws Exception {
        String path = request.path;
        if (path.equals("/follow")) return follow(node, request.query);
        synchronized (this) {
            if (path.equals("/keys")) return list(request.query);
            if (path.startsWith("/keys/")) return get(path.substring(6));
            if (path.equals("/commit")) return commit(request.map());
            if (path.equals("/holds")) return grant(((Number) request.map().get("life_ms")).longValue());
            long id = Long.parseLong(path.split("/")[2]);
            Hold hold = holds.get(id);
            if (hold == null) return Http.Response.of(404, "era", era);
            if (path.endsWith("/renew")) {
                hold.endNanos = System.nanoTime() + hold.lifeMillis * 1_000_000L;
            } else {
                end(id);
            }
            return Http.Response.of(200, "hold", id);
        }
    }

    private Http.Response grant(long lifeMillis) {
        Hold hold = new Hold();
        hold.lifeMillis = lifeMillis;
        hold.endNanos = System.nanoTime() + lifeMillis * 1_000_000L;
        holds.put(++lastHold, hold);
        return Http.Response.of(200, "hold", lastHold);
    }

    private Map<String, Object> pair(String key, Item item) {
        Map<String, Object> pair = new LinkedHashMap<>();
        pair.put("k", key);
        pair.put("v", item.value);
        pair.put("stamp", item.stamp);
        if (item.hold != null) pair.put("hold", item.hold);
        return pair;
    }

    private Http.Response get(String key) {
        Item item = items.get(key);
        return item == null ? Http.Response.of(404, "era", era) : new Http.Response(200, Cbor.encode(pair(key, item)));
    }

    private Http.Response list(Map<String, String> query) {
        String prefix = query.get("under");
        String from = query.getOrDefault("after", "");
        int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
        List<Object> pairs = new ArrayList<>();
        boolean truncated = false;
        for (var entry : items.tailMap(from.isEmpty() ? prefix : from, from.isEmpty()).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                if (entry.getKey().compareTo(prefix) > 0) break;
                continue;
            }
            if (pairs.size() == limit) {
                truncated = true;
                break;
            }
            pairs.add(pair(entry.getKey(), entry.getValue()));
        }
        return Http.Response.of(200, "pairs", pairs, "truncated", truncated, "era", era);
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> maps(Object list) {
        return list == null ? List.of() : (List<Map<String, Object>>) list;
    }

    private Http.Response commit(Map<String, Object> body) {
        List<Object> failed = new ArrayList<>();
        List<Map<String, Object>> writes = maps(body.get("writes"));
        for (var write : writes) {
            Number hold = (Number) write.get("hold");
            if (hold != null && !holds.containsKey(hold.longValue())) return Http.Response.of(400, "error", "no such lease");
        }
        for (var when : maps(body.get("when"))) {
            Item item = items.get((String) when.get("k"));
            if ((item == null ? 0 : item.stamp) != ((Number) when.get("stamp")).longValue()) failed.add(when.get("k"));
        }
        if (!failed.isEmpty()) return Http.Response.of(409, "failed", failed, "era", era);
        if (writes.isEmpty()) return Http.Response.of(200, "era", era);
        era++;
        for (var write : writes) {
            String dropped = (String) write.get("drop");
            if (dropped != null) {
                if (items.remove(dropped) != null) record(dropped, null);
                continue;
            }
            Item item = new Item();
            item.value = write.get("v");
            item.stamp = era;
            Number hold = (Number) write.get("hold");
            item.hold = hold == null ? null : hold.longValue();
            items.put((String) write.get("put"), item);
            record((String) write.get("put"), item.value);
        }
        notifyAll();
        return Http.Response.of(200, "era", era);
    }

    private synchronized Http.Response follow(int node, Map<String, String> query) throws InterruptedException {
        String prefix = query.get("under");
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000L;
        if (!changes.isEmpty() && changes.get(0).stamp > after + 1 && changes.get(0).stamp > 1) return Http.Response.of(410, "era", era);
        while (true) {
            if (modes[node] == Mode.UP) {
                List<Object> news = new ArrayList<>();
                int first = changes.size();
                while (first > 0 && changes.get(first - 1).stamp > after) first--;
                for (Change change : changes.subList(first, changes.size())) {
                    if (!change.key.startsWith(prefix)) continue;
                    Map<String, Object> item = new LinkedHashMap<>();
                    item.put(change.value == null ? "drop" : "put", change.key);
                    if (change.value != null) item.put("v", change.value);
                    item.put("stamp", change.stamp);
                    news.add(item);
                }
                if (!news.isEmpty() || System.nanoTime() >= end) return Http.Response.of(200, "era", era, "news", news);
            }
            wait(Math.max(1, Math.min(50, (end - System.nanoTime()) / 1_000_000)));
        }
    }
}

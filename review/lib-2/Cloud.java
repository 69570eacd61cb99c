import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud: rents machines, lists them with a lag, and takes them back. Each controller has an address of its own. */
final class Cloud {
    private static final class Rig {
        Site.Type type;
        String zone;
        boolean spot;
        long rentedNanos;
        boolean up;
    }

    /** What a test does before a call is carried out; returns false if its answer is to be lost. */
    interface Tap {
        boolean pass(int node, Http.Request request) throws Exception;
    }

    private final Site site;
    private final TreeMap<String, Rig> rigs = new TreeMap<>();
    private final Map<String, List<Object>> charters = new HashMap<>();
    final int[] ports;
    volatile Tap tap;
    /** During an outage the cloud answers 503. */
    volatile boolean isOut;
    /** Most machines that the cloud rents. */
    int capacity = 0;

    Cloud(Site site, int nodes) throws Exception {
        this.site = site;
        ports = new int[nodes];
        for (int i = 0; i < nodes; i++) {
            int node = i;
            var listener = Http.listen();
            ports[i] = listener.getLocalPort();
            Http.serve(listener, request -> handle(node, request));
        }
    }

    private Http.Response handle(int node, Http.Request request) throws Exception {
        if (isOut) return Http.Response.of(503, "error", "trouble");
        Tap current = tap;
        boolean isAnswered = current == null || current.pass(node, request);
        Http.Response response;
        synchronized (site) {
            response = route(node, request);
        }
        return isAnswered ? response : null;
    }

    /** Adds a machine that is up at the start. */
    Worker addOwned(Site.Type type, String zone) {
        synchronized (site) {
            Worker worker = site.addMachine(type, zone, false);
            Rig rig = rig(type, zone, false);
            rig.up = true;
            rigs.put(worker.name, rig);
            worker.begin();
            return worker;
        }
    }

    private Rig rig(Site.Type type, String zone, boolean spot) {
        Rig rig = new Rig();
        rig.type = type;
        rig.zone = zone;
        rig.spot = spot;
        rig.rentedNanos = System.nanoTime();
        return rig;
    }

    /** Takes a machine without a notice. */
    void take(String name) {
        rigs.remove(name);
        site.removeMachine(name);
    }

    private Http.Response route(int node, Http.Request request) {
        if (request.path.equals("/machine_types")) return types();
        if (request.path.equals("/machines/return")) {
            List<?> names = (List<?>) request.map().get("rigs");
            site.note("cloud: mast-%d returns %s", node, names);
            for (Object name : names) {
                rigs.remove(name);
                site.removeMachine((String) name);
            }
            return Http.Response.of(200);
        }
        return request.method.equals("POST") ? rent(node, request.map()) : list(request.query.getOrDefault("after", ""));
    }

    private Http.Response types() {
        List<Object> builds = new ArrayList<>();
        for (Site.Type type : site.config.types) {
            Map<String, Object> build = new LinkedHashMap<>();
            build.put("name", type.name);
            build.put("vcpus", type.vcpus);
            build.put("gpus", 0.0);
            build.put("memory_gb", type.memory);
            build.put("local_gb", 100.0);
            build.put("fetch_gb_per_s", 1.0);
            build.put("price", type.vcpus * 0.045);
            build.put("market_price", type.vcpus * 0.012);
            build.put("startup_s", site.config.startupS);
            build.put("yards", site.config.zones);
            builds.add(build);
        }
        return Http.Response.of(200, "builds", builds);
    }

    private Http.Response rent(int node, Map<String, Object> order) {
        String charter = (String) order.get("charter");
        List<Object> names = charters.get(charter);
        site.note("cloud: mast-%d rents %s", node, order);
        if (names != null) return Http.Response.of(200, "rigs", names);
        int free = capacity - rigs.size();
        if (free <= 0) return Http.Response.of(503, "error", "no capacity");
        names = new ArrayList<>();
        Site.Type type = site.config.types.stream().filter(t -> t.name.equals(order.get("build"))).findFirst().orElseThrow();
        for (int i = Math.min(free, ((Number) order.get("number")).intValue()); i > 0; i--) {
            Worker worker = site.addMachine(type, (String) order.get("yard"), (Boolean) order.get("loaners"));
            Rig rig = rig(type, worker.zone, worker.spot);
            rigs.put(worker.name, rig);
            names.add(worker.name);
            Http.thread(() -> {
                Thread.sleep((long) (site.config.startupS * 1000));
                synchronized (site) {
                    rig.up = true;
                    if (site.workers.containsKey(worker.name)) worker.begin();
                }
            });
        }
        charters.put(charter, names);
        return Http.Response.of(200, "rigs", names);
    }

    private Http.Response list(String after) {
        List<Object> list = new ArrayList<>();
        long now = System.nanoTime();
        for (var entry : rigs.tailMap(after, false).entrySet()) {
            Rig rig = entry.getValue();
            Map<String, Object> item = new LinkedHashMap<>();
            item.put("name_id", entry.getKey());
            item.put("addr", "127.0.0.1:9");
            item.put("build", rig.type.name);
            item.put("yard", rig.zone);
            item.put("loaners", rig.spot);
            item.put("status", rig.up ? "running" : "starting");
            item.put("age_s", (now - rig.rentedNanos) / 1e9);
            list.add(item);
        }
        return Http.Response.of(200, "rigs", list, "truncated", false);
    }
}

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud, after PROTOCOL-linemast.md: machine types, rentals, returns, and a list that lags. */
final class Cloud {
    static final class Machine {
        final String name;
        final String build;
        final String yard;
        final boolean spot;
        final long createdNanos;
        long upNanos;
        long goneNanos = Long.MAX_VALUE;
        Worker worker;

        Machine(String name, String build, String yard, boolean spot, long upNanos) {
            this.name = name;
            this.build = build;
            this.yard = yard;
            this.spot = spot;
            this.createdNanos = System.nanoTime();
            this.upNanos = upNanos;
        }
    }

    private final World world;
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, List<Object>> granted = new HashMap<>();
    private int lastName = 0;
    double lagSeconds = 6;
    double bootSeconds = 4;
    int capacity = 4;

    Cloud(World world) {
        this.world = world;
    }

    synchronized Machine add(String build, String yard, boolean spot, double bootSeconds) {
        Machine machine =
            new Machine(String.format("host-%06d", ++lastName), build, yard, spot, System.nanoTime() + (long) (bootSeconds * 1e9));
        machines.put(machine.name, machine);
        machine.worker = new Worker(world, machine);
        return machine;
    }

    synchronized List<Machine> all() {
        return new ArrayList<>(machines.values());
    }

    synchronized void listen(int port) throws java.io.IOException {
        Http.serve(port, this::handle);
    }

    @SuppressWarnings("unchecked")
    private Http.Response handle(Http.Request request) throws Exception {
        Thread.sleep(60);
        switch (request.path()) {
            case "/machine_types": {
                List<Object> builds = new ArrayList<>();
                for (World.Build b : world.builds.values()) {
                    builds.add(Cbor.map("name", b.name, "vcpus", b.vcpus, "gpus", 0.0, "memory_gb", b.memoryGb, "local_gb", 100.0,
                        "fetch_gb_per_s", 2.0, "price", b.price, "market_price", b.price / 3, "startup_s", 10.0, "yards", world.zones));
                }
                return Http.Response.of(200, "builds", builds);
            }
            case "/machines":
                return request.method().equals("POST") ? rent(Cbor.decodeMap(request.body())) : list(request);
            case "/machines/return": {
                for (Object name : (List<Object>) Cbor.decodeMap(request.body()).get("rigs")) remove((String) name);
                return Http.Response.of(200);
            }
            default:
                return Http.Response.of(400);
        }
    }

    void remove(String name) {
        Machine machine;
        synchronized (this) {
            machine = machines.get(name);
            if (machine == null || machine.goneNanos != Long.MAX_VALUE) return;
            machine.goneNanos = System.nanoTime();
        }
        world.log("cloud: " + name + " is gone");
        machine.worker.destroy();
    }

    private synchronized Http.Response rent(Map<String, Object> body) {
        String charter = (String) body.get("charter");
        List<Object> names = granted.get(charter);
        if (names == null) {
            long live = machines.values().stream().filter(m -> m.goneNanos == Long.MAX_VALUE && m.upNanos > m.createdNanos + 1).count();
            int count = (int) Math.min(((Number) body.get("number")).longValue(), capacity - live);
            if (count <= 0) return Http.Response.of(503, "error", "no capacity");
            names = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                names.add(add((String) body.get("build"), (String) body.get("yard"), (Boolean) body.get("loaners"), bootSeconds).name);
            }
            granted.put(charter, names);
            world.log("cloud: rented " + names);
        }
        return Http.Response.of(200, "rigs", names);
    }

    private synchronized Http.Response list(Http.Request request) {
        String after = request.param("after");
        long asOf = System.nanoTime() - (long) (lagSeconds * 1e9);
        List<Object> rigs = new ArrayList<>();
        for (Machine m : machines.values()) {
            if (after != null && m.name.compareTo(after) <= 0) continue;
            boolean initial = m.upNanos <= m.createdNanos + 1;
            if ((!initial && m.createdNanos > asOf) || m.goneNanos < asOf) continue;
            rigs.add(Cbor.map("name_id", m.name, "addr", "127.0.0.1:9", "build", m.build, "yard", m.yard, "loaners", m.spot,
                "status", m.upNanos < asOf || initial ? "running" : "starting", "age_s", (System.nanoTime() - m.createdNanos) / 1e9));
        }
        return Http.Response.of(200, "rigs", rigs, "truncated", false);
    }
}

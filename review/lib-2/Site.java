import java.io.IOException;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** A small deployment: three controllers as processes, and stand-ins for state service, cloud, workers and users. */
final class Site implements AutoCloseable {
    static final int NODES = 3;

    static final class Type {
        final String name;
        final double vcpus;
        final double memory;

        Type(String name, double vcpus, double memory) {
            this.name = name;
            this.vcpus = vcpus;
            this.memory = memory;
        }
    }

    /** Settings of the deployment, those of `paio-linemast` or `apcp-linemast`. */
    static class Config {
        double reportS = 1.0;
        double leaseS = 11.0;
        double gangWaitS = 45.0;
        double gangPeerS = 4.0;
        double cancelS = 36.0;
        String state = "rps = 100.0\nwrite_rps = 30.0\nvalue_kb = 16.0\ntxn_ops = 16\n";
        double cloudRps = 6.0;
        double listLagS = 6.0;
        String limits = "cpu_share = 0.085\nmem_mb = 153.0\nfd_limit = 600\n";
        List<String> zones = List.of("bucuresti", "cluj");
        List<Type> types = List.of(new Type("mic-8", 8, 32), new Type("mare-32", 32, 64));
        /** Name, guaranteed and greatest number of CPUs. */
        Object[][] teams = {{"brasov-kitchens", 104.0, 320.0}, {"courier-desk", 64.0, 96.0}};
        double fetchS = 1.0;
        double startupS = 3.0;
        String logLevel = "info";
    }

    /** A job as its user knows it. */
    static final class Job {
        final String id;
        final Map<String, Object> spec;
        double runS;
        volatile long acceptedNanos;
        volatile long toldCancelledNanos;
        volatile long toldDoneNanos;
        volatile String last = "";
        volatile boolean asked;
        int done;

        Job(String id, Map<String, Object> spec, double runS) {
            this.id = id;
            this.spec = spec;
            this.runS = runS;
        }

        int pieces() {
            return ((Number) spec.get("pieces")).intValue();
        }

        double vcpus() {
            return ((Number) spec.get("vcpus")).doubleValue();
        }

        boolean isGang() {
            return "gang".equals(spec.get("shape"));
        }
    }

    final Config config;
    final Random random = new Random(Long.getLong("seed", 7));
    final Store store;
    final Cloud cloud;
    final Map<String, Job> jobs = new TreeMap<>();
    final Map<String, Worker> workers = new TreeMap<>();
    /** Tasks that have completed; their results are kept. */
    final Set<String> completed = new HashSet<>();
    final int[] ports = new int[NODES];
    private final int[] peerPorts = new int[NODES];
    private PeerLinks links;
    private final Process[] processes = new Process[NODES];
    private final Path directory = Files.createTempDirectory("review");
    private final PrintWriter record;
    final List<String> violations = new ArrayList<>();
    private final long beginNanos = System.nanoTime();
    private int lastMachine;

    Site(Config config, Path recordFile) throws Exception {
        this.config = config;
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        store = new Store(NODES);
        cloud = new Cloud(this, NODES);
        for (int i = 0; i < NODES; i++) {
            ports[i] = freePort();
            peerPorts[i] = freePort();
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        Http.thread(() -> {
            while (true) {
                Thread.sleep(50);
                synchronized (this) {
                    checkCancelled();
                    Worker.stepGangs(this);
                }
            }
        });
    }

    private static final Set<Integer> GIVEN_PORTS = new HashSet<>();

    /**
     * Returns a free port that was not given before and that no outgoing connection gets: below the range for those. Runs at the same
     * time on one machine begin at different ports.
     */
    static synchronized int freePort() throws IOException {
        long first = ProcessHandle.current().pid() * 97 % 200 * 100;
        for (int i = 0; ; i++) {
            int port = 10_000 + (int) ((first + i) % 20_000);
            if (!GIVEN_PORTS.add(port)) continue;
            try (var socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Another process listens there.
            }
        }
    }

    double seconds() {
        return (System.nanoTime() - beginNanos) / 1e9;
    }

    void note(String format, Object... args) {
        synchronized (record) {
            record.println(String.format(Locale.ROOT, "%8.3f ", seconds()) + String.format(Locale.ROOT, format, args));
            record.flush();
        }
    }

    void violation(String format, Object... args) {
        String text = String.format(Locale.ROOT, format, args);
        synchronized (violations) {
            violations.add(text);
        }
        note("VIOLATION %s", text);
    }

    // Controllers

    /** Lets the controllers reach each other through links that can be refused; to be called before they are started. */
    PeerLinks useLinks() throws IOException {
        links = new PeerLinks(peerPorts);
        return links;
    }

    private String settings(int node) {
        StringBuilder text = new StringBuilder();
        text.append("node_name = \"mast-").append(node).append("\"\ndomain = \"").append(config.zones.get(0)).append("\"\n");
        text.append("serve_on = \"127.0.0.1:").append(ports[node]).append("\"\npeer_listen = \"127.0.0.1:").append(peerPorts[node]).append("\"\n");
        for (int i = 0; i < NODES; i++) {
            if (i == node) continue;
            text.append("[[members]]\nnode_name = \"mast-").append(i).append("\"\ndomain = \"").append(config.zones.get(0));
            text.append("\"\npeer_addr = \"127.0.0.1:").append(links == null ? peerPorts[i] : links.port(node, i)).append("\"\n");
        }
        text.append("[external]\ncloud = \"127.0.0.1:").append(cloud.ports[node]).append("\"\nstate = \"127.0.0.1:").append(store.ports[node]).append("\"\n");
        text.append("[settings]\ninitial_size = 3\nzones = [");
        for (String zone : config.zones) text.append('"').append(zone).append("\", ");
        text.append("]\nclock_off_ms = 250.0\n");
        for (Object[] team : config.teams) {
            text.append("[[settings.teams]]\nname = \"").append(team[0]).append("\"\ncpus = ").append(team[1]);
            text.append("\ncpus_max = ").append(team[2]).append("\ngpus = 0.0\ngpus_max = 0.0\n");
        }
        text.append("[settings.workers]\nreport_s = ").append(config.reportS).append("\nlease_s = ").append(config.leaseS);
        text.append("\ngang_wait_s = ").append(config.gangWaitS).append("\ngang_peer_s = ").append(config.gangPeerS);
        text.append("\ncancel_s = ").append(config.cancelS).append("\n[settings.state]\n").append(config.state);
        text.append("[settings.cloud]\nrps = ").append(config.cloudRps).append("\nlist_lag_s = ").append(config.listLagS);
        text.append("\n[settings.limits]\n").append(config.limits);
        return text.toString();
    }

    /** Starts a controller by the `run` command of the deploy file. */
    void start(int node) throws IOException {
        Path file = directory.resolve("mast-" + node + ".toml");
        Files.writeString(file, settings(node));
        String run = Files.readAllLines(Path.of("deploy/service.toml")).stream().filter(l -> l.startsWith("run ")).findFirst().orElseThrow();
        List<String> command = new ArrayList<>(List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
        command.add(file.toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG_LEVEL", config.logLevel);
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve("mast-" + node + ".log").toFile()));
        processes[node] = builder.start();
        note("controller mast-%d started", node);
    }

    void startAll() throws Exception {
        for (int i = 0; i < NODES; i++) start(i);
        for (int i = 0; i < NODES; i++) awaitHealthy(i);
    }

    void awaitHealthy(int node) throws Exception {
        for (int i = 0; i < 300; i++) {
            Http.Response response = new Http.Client(ports[node]).call("GET", "/healthz", null, 1000);
            if (response != null && response.status == 200) return;
            Thread.sleep(100);
        }
        throw new IllegalStateException("controller " + node + " does not become healthy");
    }

    boolean isAlive(int node) {
        return processes[node] != null && processes[node].isAlive();
    }

    /** Starts controllers again that have ended by themselves, and records the ends of their logs. */
    void restartEnded() throws Exception {
        for (int node = 0; node < NODES; node++) {
            if (isAlive(node)) continue;
            String text = log(node);
            note("controller mast-%d has ended by itself, exit code %d; its log: %s", node, exitCode(node), text.substring(Math.max(0, text.length() - 6000)));
            Thread.sleep(3_000);
            start(node);
        }
    }

    /** Returns the exit code of a controller that has ended. */
    int exitCode(int node) {
        return processes[node].exitValue();
    }

    void kill(int node) throws Exception {
        processes[node].destroyForcibly().waitFor();
        note("controller mast-%d killed", node);
    }

    void signal(int node, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, String.valueOf(processes[node].pid())).start().waitFor();
        note("controller mast-%d: SIG%s", node, name);
    }

    /** Returns the number of the controller that leads by the state service; -1 if none does. */
    int leader() {
        Map<String, Object> leader = store.peek("leader");
        if (leader == null) return -1;
        for (Object value : leader.values()) {
            if (value instanceof String && ((String) value).startsWith("mast-")) return Integer.parseInt(((String) value).substring(5));
        }
        return -1;
    }

    int awaitLeader() throws Exception {
        for (int i = 0; i < 600; i++) {
            if (leader() >= 0) return leader();
            Thread.sleep(50);
        }
        throw new IllegalStateException("no leader");
    }

    String log(int node) throws IOException {
        return Files.readString(directory.resolve("mast-" + node + ".log"));
    }

    private void endProcesses() {
        for (Process process : processes) if (process != null) process.destroyForcibly();
    }

    @Override
    public void close() throws Exception {
        endProcesses();
        for (Process process : processes) if (process != null) process.waitFor(5, TimeUnit.SECONDS);
        for (int i = 0; i < NODES; i++) {
            Path log = directory.resolve("mast-" + i + ".log");
            if (System.getenv("KEEP_LOGS") != null && Files.exists(log)) Files.copy(log, Path.of(System.getenv("KEEP_LOGS"), "mast-" + i + ".log"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
        try (var files = Files.walk(directory)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> Http.quietly(() -> Files.delete(f)));
        }
        record.close();
    }

    // Machines

    synchronized Worker addMachine(Type type, String zone, boolean spot) {
        Worker worker = new Worker(this, String.format("host-%06d", ++lastMachine), type, zone, spot);
        workers.put(worker.name, worker);
        return worker;
    }

    synchronized void removeMachine(String name) {
        Worker worker = workers.remove(name);
        if (worker != null) worker.end("machine gone");
    }

    // Jobs

    static Map<String, Object> spec(String id, String lane, String team, String shape, String urgency, int pieces, double vcpus, double memory) {
        Map<String, Object> spec = new LinkedHashMap<>();
        spec.put("name_id", id);
        spec.put("lane", lane);
        spec.put("crew", team);
        spec.put("shape", shape);
        spec.put("urgency", urgency);
        spec.put("pieces", pieces);
        spec.put("vcpus", vcpus);
        spec.put("gpus", 0.0);
        spec.put("memory_gb", memory);
        spec.put("bundle", "img-1");
        spec.put("pull_gb", 0.6);
        spec.put("builds", null);
        spec.put("yard", null);
        spec.put("same_place", false);
        spec.put("apart", false);
        spec.put("loaners", false);
        spec.put("guess_s", 20.0);
        spec.put("mark_every_s", 0.0);
        spec.put("mark_s", 0.0);
        spec.put("due_s", null);
        return spec;
    }

    Job job(String id, Map<String, Object> spec, double runS) {
        Job job = new Job(id, spec, runS);
        synchronized (this) {
            jobs.put(id, job);
        }
        return job;
    }

    /** Sends one request of a user; returns null if there was no answer. */
    Http.Response request(int node, String method, String path, Object body, int timeoutMillis) {
        Http.Client client = new Http.Client(ports[node]);
        Http.Response response = client.call(method, path, body, timeoutMillis);
        client.close();
        String text = response == null ? "no answer" : response.status + (response.body.length > 0 ? " " + Cbor.map(response.body) : "");
        note("user -> mast-%d %s %s: %s", node, method, path, text);
        return response;
    }

    /** Submits a job as its user does, at one node after another, until it is accepted; returns the last answer. */
    Http.Response submit(Job job, int firstNode) throws Exception {
        Http.Response response = null;
        for (int i = 0; i < 20; i++) {
            response = request((firstNode + i) % NODES, "POST", "/v1/jobs", job.spec, 5000);
            if (response != null && (response.status == 201 || response.status == 200)) {
                job.acceptedNanos = System.nanoTime();
                see(job, response);
                return response;
            }
            if (response != null && (response.status == 400 || response.status == 422)) return response;
            Thread.sleep(1000);
        }
        return response;
    }

    /** Repeats the submission of an accepted job. */
    void resubmit(Job job) {
        Http.Response response = request(random.nextInt(NODES), "POST", "/v1/jobs", job.spec, 5000);
        if (response == null) return;
        if (response.status == 200) see(job, response);
        if (response.status == 400 || response.status == 422 || response.status == 201) violation("forgotten: a repeated submission of %s gets %d", job.id, response.status);
    }

    /** Cancels a job as its user does, until there is an answer; returns the status, or null without one. */
    String cancel(Job job, int firstNode, int attempts) throws Exception {
        for (int i = 0; i < attempts; i++) {
            Http.Response response = request((firstNode + i) % NODES, "POST", "/v1/jobs/" + job.id + "/cancel", null, 5000);
            if (response != null && response.status == 200) return see(job, response);
            Thread.sleep(1000);
        }
        return null;
    }

    /** Asks for a job once; returns its status, or null if there is none. */
    String poll(Job job, int node) {
        Http.Response response = request(node, "GET", "/v1/jobs/" + job.id, null, 2000);
        if (response == null) return null;
        if (response.status == 404 && job.acceptedNanos != 0) violation("forgotten: %s is accepted and gets 404 from mast-%d", job.id, node);
        return response.status == 200 ? see(job, response) : null;
    }

    private String see(Job job, Http.Response response) {
        String status = (String) response.map().get("status");
        synchronized (this) {
            if ((job.last.equals("done") || job.last.equals("withdrawn")) && !status.equals(job.last)) {
                violation("went_back: %s was called %s and is now called %s", job.id, job.last, status);
            }
            job.last = status;
            if (status.equals("withdrawn") && job.toldCancelledNanos == 0) job.toldCancelledNanos = System.nanoTime();
            if (status.equals("done") && job.toldDoneNanos == 0) {
                job.toldDoneNanos = System.nanoTime();
                if (job.done < job.pieces()) violation("not_done: %s is called done with %d of %d tasks completed", job.id, job.done, job.pieces());
            }
        }
        return status;
    }

    // Rules

    /** The tasks that are on a machine, by job. */
    private final Map<Job, Set<Worker.Task>> onMachines = new HashMap<>();

    /** Returns how many tasks of a job are on machines. */
    synchronized int tasksOf(Job job) {
        return onMachines.getOrDefault(job, Set.of()).size();
    }

    /** Records that a task is on its machine no more. */
    void leave(Worker.Task task) {
        Set<Worker.Task> tasks = onMachines.get(task.job);
        if (tasks != null && tasks.remove(task) && tasks.isEmpty()) onMachines.remove(task.job);
    }

    /** Records that a task is on its machine from now on, and checks the rules for that. */
    void enter(Worker.Task started) {
        Job job = started.job;
        double vcpus = 0;
        Set<String> zones = new HashSet<>();
        Set<Worker.Task> own = onMachines.computeIfAbsent(job, j -> new LinkedHashSet<>());
        boolean isConstrained = (Boolean) job.spec.get("same_place") || own.size() < 200;
        for (Worker.Task task : isConstrained ? own : Set.<Worker.Task>of()) {
            if (task.piece.equals(started.piece)) {
                violation("ran_twice: %s try %d starts on %s while try %d is on %s", started.piece, started.attempt, started.worker.name, task.attempt, task.worker.name);
            }
            zones.add(task.worker.zone);
        }
        own.add(started);
        for (var entry : onMachines.entrySet()) {
            if (entry.getKey().spec.get("crew").equals(job.spec.get("crew"))) vcpus += entry.getValue().size() * entry.getKey().vcpus();
        }
        for (Object[] team : config.teams) {
            if (team[0].equals(job.spec.get("crew")) && vcpus > (Double) team[2] + 1e-6) {
                violation("quota: %s uses %.1f CPUs, its limit is %.1f, as %s starts", team[0], vcpus, team[2], started.piece);
            }
        }
        Object zone = job.spec.get("yard");
        if (zone != null && !zone.equals(started.worker.zone)) violation("wrong_place: %s starts in %s", started.piece, started.worker.zone);
        if (started.worker.spot && !(Boolean) job.spec.get("loaners")) violation("wrong_place: %s starts on a spot machine", started.piece);
        zones.add(started.worker.zone);
        if ((Boolean) job.spec.get("same_place") && zones.size() > 1) violation("wrong_place: %s starts in a second zone", started.piece);
        if (job.toldCancelledNanos != 0) note("%s starts %.3f s after its cancellation was told", started.piece, (System.nanoTime() - job.toldCancelledNanos) / 1e9);
        for (Object id : (List<?>) job.spec.getOrDefault("awaits", List.of())) {
            Job before = jobs.get(id);
            if (before.done < before.pieces()) violation("too_early: %s starts before %s is done", started.piece, id);
        }
    }

    private final Set<String> reported = new HashSet<>();

    private void checkCancelled() {
        long now = System.nanoTime();
        for (var tasks : onMachines.values()) for (Worker.Task task : tasks) {
            long told = task.job.toldCancelledNanos;
            if (told != 0 && now - told > config.cancelS * 1e9 && reported.add(task.piece)) {
                violation("ran_cancelled: %s is on %s %.1f s after its user was told", task.piece, task.worker.name, (now - told) / 1e9);
            }
        }
    }
}

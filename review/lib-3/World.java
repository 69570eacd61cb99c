import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Three controllers as processes, and the stand-ins around them: state service, cloud, workers and users. Checks the rules. */
final class World {
    static final class Build {
        final String name;
        final double vcpus;
        final double memoryGb;
        final double price;

        Build(String name, double vcpus, double memoryGb, double price) {
            this.name = name;
            this.vcpus = vcpus;
            this.memoryGb = memoryGb;
            this.price = price;
        }
    }

    /** A job as its user submits it, and what its user was told. */
    static final class JobInfo {
        final String id;
        String lane = "costing-gang";
        String crew = "brasov-kitchens";
        boolean gang;
        String urgency = "normal";
        int pieces = 1;
        double vcpus = 1;
        double memoryGb = 1;
        String bundle = "img-01";
        double pullGb = 0.5;
        String yard;
        boolean samePlace;
        boolean apart;
        boolean loaners = true;
        double guessSeconds = 5;
        double runSeconds = 5;
        double markEvery = 0;
        double markSeconds = 0;
        Double dueSeconds;
        List<Object> awaits;
        volatile boolean accepted;
        volatile long acceptedNanos;
        volatile boolean cancelAsked;
        volatile String terminal;
        volatile long terminalNanos;
        volatile long toldWithdrawnNanos;
        volatile long lastAnswerNanos;

        JobInfo(String id) {
            this.id = id;
        }

        Map<String, Object> body() {
            Map<String, Object> body = Cbor.map("name_id", id, "lane", lane, "crew", crew, "shape", gang ? "gang" : "sweep",
                "urgency", urgency, "pieces", pieces, "vcpus", vcpus, "gpus", 0.0, "memory_gb", memoryGb, "bundle", bundle,
                "pull_gb", pullGb, "builds", null, "yard", yard, "same_place", samePlace, "apart", apart, "loaners", loaners,
                "guess_s", guessSeconds, "mark_every_s", markEvery, "mark_s", markSeconds, "due_s", dueSeconds);
            if (awaits != null) body.put("awaits", awaits);
            return body;
        }
    }

    final Random random;
    final Map<String, Build> builds = new LinkedHashMap<>();
    final List<Object> zones = new ArrayList<>(List.of("cluj", "bucuresti"));
    final Map<String, double[]> teams = new LinkedHashMap<>();
    final Map<String, JobInfo> jobs = new ConcurrentHashMap<>();
    final Store store = new Store();
    final Cloud cloud;
    double reportSeconds = 1;
    double leaseSeconds = 11;
    double gangWaitSeconds = 45;
    double gangPeerSeconds = 4;
    double cancelSeconds = 36;
    int fdLimit = 600;
    String extraState = "";
    final int[] httpPorts = new int[3];
    final int[] peerPorts = new int[3];
    final int[] statePorts = new int[3];
    final int cloudPort;
    final Process[] processes = new Process[3];
    final Path dir;
    final String home;
    private final Set<String> completed = new HashSet<>();
    private final Map<String, List<Worker.Task>> gangs = new HashMap<>();
    private final Map<String, Set<Worker>> on = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    volatile int starts = 0;
    final java.util.concurrent.atomic.AtomicLong answeredReports = new java.util.concurrent.atomic.AtomicLong();
    final java.util.concurrent.atomic.AtomicLong expiredLeases = new java.util.concurrent.atomic.AtomicLong();
    final Set<String> startedJobs = ConcurrentHashMap.newKeySet();
    private final boolean[] healthy = {true, true, true};

    World(Path recordFile, String home, long seed) throws IOException {
        this.random = new Random(seed);
        this.home = home;
        this.record = new PrintWriter(new BufferedWriter(Files.newBufferedWriter(recordFile)), true);
        this.dir = Files.createTempDirectory("linemast-case");
        builds.put("mic-8", new Build("mic-8", 8, 32, 0.37));
        builds.put("mare-32", new Build("mare-32", 32, 64, 1.3));
        teams.put("brasov-kitchens", new double[] {104, 320});
        teams.put("courier-desk", new double[] {16, 24});
        for (int i = 0; i < 3; i++) {
            httpPorts[i] = Http.freePort();
            peerPorts[i] = Http.freePort();
            statePorts[i] = Http.freePort();
            store.listen(statePorts[i], "mast-" + i);
        }
        cloud = new Cloud(this);
        cloudPort = Http.freePort();
        cloud.listen(cloudPort);
        Http.daemon("checks", this::check);
        Runtime.getRuntime().addShutdownHook(new Thread(this::stopAll));
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    void log(String line) {
        synchronized (record) {
            record.printf("%8.3f %s%n", seconds(), line);
        }
    }

    void violate(String rule, String detail) {
        synchronized (violations) {
            violations.add(rule + ": " + detail);
        }
        log("BROKEN " + rule + ": " + detail);
    }

    int nodeIndex(String name) {
        return name == null || !name.startsWith("mast-") ? -1 : Integer.parseInt(name.substring(5));
    }

    Http.Client[] newClients() {
        return new Http.Client[] {new Http.Client(httpPorts[0]), new Http.Client(httpPorts[1]), new Http.Client(httpPorts[2])};
    }

    String settings(int i) {
        StringBuilder s = new StringBuilder();
        s.append("node_name = \"mast-").append(i).append("\"\ndomain = \"").append(i == 1 ? "bucuresti" : "cluj").append("\"\n");
        s.append("serve_on = \"127.0.0.1:").append(httpPorts[i]).append("\"\npeer_listen = \"127.0.0.1:").append(peerPorts[i]).append("\"\n");
        for (int j = 0; j < 3; j++) {
            if (j == i) continue;
            s.append("[[members]]\nnode_name = \"mast-").append(j).append("\"\ndomain = \"").append(j == 1 ? "bucuresti" : "cluj")
                .append("\"\npeer_addr = \"127.0.0.1:").append(peerPorts[j]).append("\"\n");
        }
        s.append("[external]\ncloud = \"127.0.0.1:").append(cloudPort).append("\"\nstate = \"127.0.0.1:").append(statePorts[i]).append("\"\n");
        s.append("[settings]\ninitial_size = 3\nzones = [");
        for (int k = 0; k < zones.size(); k++) s.append(k == 0 ? "\"" : ", \"").append(zones.get(k)).append("\"");
        s.append("]\nclock_off_ms = 250.0\n");
        teams.forEach((name, limits) -> s.append("[[settings.teams]]\nname = \"").append(name).append("\"\ncpus = ").append(limits[0])
            .append("\ncpus_max = ").append(limits[1]).append("\ngpus = 0.0\ngpus_max = 0.0\n"));
        s.append("[[settings.objectives]]\nkind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.85\n");
        s.append("[settings.workers]\nreport_s = ").append(reportSeconds).append("\nlease_s = ").append(leaseSeconds)
            .append("\ngang_wait_s = ").append(gangWaitSeconds).append("\ngang_peer_s = ").append(gangPeerSeconds)
            .append("\ncancel_s = ").append(cancelSeconds).append("\n");
        s.append("[settings.state]\nrps = ").append(store.rps).append("\nwrite_rps = ").append(store.writeRps).append("\nvalue_kb = ")
            .append((double) store.valueKb).append("\ntxn_ops = ").append(store.txnOps).append("\n").append(extraState);
        s.append("[settings.cloud]\nrps = 6.0\nlist_lag_s = 6.0\n");
        s.append("[settings.limits]\ncpu_share = 0.085\nmem_mb = 153.0\nfd_limit = ").append(fdLimit).append("\n");
        return s.toString();
    }

    /** Starts the controller [i] by the command of the deploy file. */
    void start(int i) throws IOException {
        Path file = dir.resolve("mast-" + i + ".toml");
        Files.writeString(file, settings(i));
        String run = null;
        for (String line : Files.readAllLines(Path.of(home, "deploy", "service.toml"))) {
            if (line.startsWith("run = ")) run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        List<String> command = new ArrayList<>(Arrays.asList(run.split(" ")));
        command.add(file.toString());
        ProcessBuilder builder = new ProcessBuilder(command).directory(new File(home));
        builder.environment().putIfAbsent("LOG_LEVEL", "info");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(dir.resolve("mast-" + i + ".log").toFile()));
        processes[i] = builder.start();
        log("mast-" + i + " started");
    }

    void kill(int i) throws InterruptedException {
        log("mast-" + i + " killed");
        processes[i].destroyForcibly().waitFor();
    }

    void signal(int i, String name) throws IOException, InterruptedException {
        log("mast-" + i + " SIG" + name);
        new ProcessBuilder("kill", "-" + name, String.valueOf(processes[i].pid())).start().waitFor();
    }

    void stopAll() {
        for (Process process : processes) if (process != null) process.destroyForcibly();
    }

    /** Returns the index of the controller that the stored record names as leader, or -1. */
    int leader() {
        Map<String, Object> value = store.value("leader");
        return value == null ? -1 : nodeIndex((String) value.get("node"));
    }

    boolean isHealthy(int i) {
        Http.Client client = new Http.Client(httpPorts[i]);
        Http.Response response = client.call("GET", "/healthz", null, 1000);
        client.close();
        return response != null && response.status() == 200;
    }

    /** Probes the health of each controller about once a second, as the load balancer does. */
    void watchHealth() {
        for (int i = 0; i < 3; i++) {
            int node = i;
            Http.daemon("health", () -> {
                int failures = 0;
                int successes = 2;
                while (true) {
                    if (isHealthy(node)) {
                        failures = 0;
                        if (++successes >= 2) healthy[node] = true;
                    } else {
                        successes = 0;
                        if (++failures >= 2) healthy[node] = false;
                    }
                    try {
                        Thread.sleep(1000);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
        }
    }

    /** Returns a node that the load balancer chooses: a healthy one, or any if none is. */
    int healthyNode() {
        List<Integer> nodes = new ArrayList<>();
        for (int i = 0; i < 3; i++) if (healthy[i]) nodes.add(i);
        return nodes.isEmpty() ? java.util.concurrent.ThreadLocalRandom.current().nextInt(3)
            : nodes.get(java.util.concurrent.ThreadLocalRandom.current().nextInt(nodes.size()));
    }

    boolean await(double maxSeconds, java.util.function.BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + (long) (maxSeconds * 1e9);
        while (System.nanoTime() < end) {
            if (condition.getAsBoolean()) return true;
            Thread.sleep(20);
        }
        return condition.getAsBoolean();
    }

    // ----- tasks -----

    boolean isCompleted(String piece) {
        return completed.contains(piece);
    }

    void onStartCommand(Worker worker, Worker.Task task) {
        starts++;
        startedJobs.add(task.piece.substring(0, task.piece.indexOf('/')));
        log(worker.machine.name + ": start " + task.piece + " try " + task.attempt);
    }

    void onEnter(Worker worker, Worker.Task task) {
        JobInfo job = task.job;
        log(worker.machine.name + ": " + task.piece + " try " + task.attempt + " " + task.status);
        Set<Worker> holders = on.computeIfAbsent(task.piece, k -> new HashSet<>());
        for (Worker other : holders) {
            if (other != worker) violate("ran_twice", task.piece + " starts on " + worker.machine.name + " while it is on " + other.machine.name);
        }
        holders.add(worker);
        double used = 0;
        int here = 0;
        for (Cloud.Machine machine : cloud.all()) {
            for (Worker.Task other : machine.worker.tasks.values()) {
                if (!other.isOnMachine()) continue;
                if (other.job.crew.equals(job.crew)) used += other.job.vcpus;
                if (other.job != job) continue;
                if (machine.yard.equals(worker.machine.yard)) here++;
                if (job.samePlace && !machine.yard.equals(worker.machine.yard)) violate("wrong_place", task.piece + " in another zone");
            }
        }
        if (used > teams.get(job.crew)[1] + 1e-6) violate("quota", job.crew + " uses " + used);
        if (job.apart && here > (job.pieces + 1) / 2) violate("wrong_place", task.piece + ": " + here + " in one zone");
        if (!job.loaners && worker.machine.spot) violate("wrong_place", task.piece + " on a spot machine");
        if (job.yard != null && !job.yard.equals(worker.machine.yard)) violate("wrong_place", task.piece + " not in " + job.yard);
        if (job.awaits != null) {
            for (Object id : job.awaits) {
                JobInfo before = jobs.get((String) id);
                for (int i = 0; i < before.pieces; i++) {
                    if (!isCompleted(id + "/" + i)) {
                        violate("too_early", task.piece + " before " + id + "/" + i);
                        break;
                    }
                }
            }
        }
        if (job.toldWithdrawnNanos != 0 && System.nanoTime() - job.toldWithdrawnNanos > cancelSeconds * 1e9) {
            violate("ran_cancelled", task.piece + " starts after the limit");
        }
    }

    void onLeave(Worker worker, Worker.Task task, String cause) {
        log(worker.machine.name + ": " + task.piece + " try " + task.attempt + " ended: " + cause);
        Set<Worker> holders = on.get(task.piece);
        if (holders != null) holders.remove(worker);
        if (task.job.gang) {
            List<Worker.Task> mates = gangs.get(task.job.id + "#" + task.attempt);
            if (mates != null && !cause.equals("done")) mates.remove(task);
        }
    }

    void gather(Worker.Task task, long now) {
        List<Worker.Task> mates = gangs.computeIfAbsent(task.job.id + "#" + task.attempt, k -> new ArrayList<>());
        mates.add(task);
        if (mates.size() < task.job.pieces) return;
        for (Worker.Task mate : mates) {
            mate.status = "running";
            mate.doneNanos = now + (long) (task.job.runSeconds * 1e9);
        }
    }

    boolean mateLost(Worker.Task task) {
        return gangs.get(task.job.id + "#" + task.attempt).size() < task.job.pieces;
    }

    void complete(Worker worker, Worker.Task task) {
        if (task.job.gang) {
            for (int i = 0; i < task.job.pieces; i++) completed.add(task.job.id + "/" + i);
        } else {
            completed.add(task.piece);
        }
    }

    boolean allCompleted(JobInfo job) {
        synchronized (this) {
            for (int i = 0; i < job.pieces; i++) if (!completed.contains(job.id + "/" + i)) return false;
        }
        return true;
    }

    private void check() {
        Set<String> told = new HashSet<>();
        while (true) {
            try {
                Thread.sleep(200);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                for (Cloud.Machine machine : cloud.all()) {
                    for (Worker.Task task : machine.worker.tasks.values()) {
                        if (!task.isOnMachine() || task.job.toldWithdrawnNanos == 0) continue;
                        if (System.nanoTime() - task.job.toldWithdrawnNanos > cancelSeconds * 1e9 && told.add(task.piece)) {
                            violate("ran_cancelled", task.piece + " is still on " + machine.name);
                        }
                    }
                }
            }
        }
    }

    // ----- users -----

    /** One request of a user to the controller [i]. */
    Http.Response ask(int i, String method, String path, byte[] body, int timeoutMillis) {
        Http.Client client = new Http.Client(httpPorts[i]);
        Http.Response response = client.call(method, path, body, timeoutMillis);
        client.close();
        return response;
    }

    /** One attempt to submit; returns the status, or 0 if there is no response. */
    int submit(JobInfo job, int i) {
        jobs.put(job.id, job);
        Http.Response response = ask(i, "POST", "/v1/jobs", Cbor.encode(job.body()), 5000);
        int status = response == null ? 0 : response.status();
        log("user: submit " + job.id + " at mast-" + i + ": " + status + (status / 100 == 2 ? " " + response.map() : ""));
        if (job.accepted && (status == 400 || status == 422)) violate("forgotten", job.id + " submitted again: " + status);
        if (status == 200 || status == 201) {
            if (!job.accepted) job.acceptedNanos = System.nanoTime();
            job.accepted = true;
            checkStatus(job, (String) response.map().get("status"), System.nanoTime());
        }
        return status;
    }

    /** Submits until the job is accepted or refused for good. */
    int submitUntilAnswered(JobInfo job, double maxSeconds) throws InterruptedException {
        long end = System.nanoTime() + (long) (maxSeconds * 1e9);
        while (true) {
            int status = submit(job, healthyNode());
            if (status == 200 || status == 201 || status == 400 || status == 422 || System.nanoTime() > end) return status;
            Thread.sleep(1000);
        }
    }

    /** One poll; returns the status text, "404", or null if there is no answer. */
    String poll(JobInfo job, int i) {
        long sent = System.nanoTime();
        Http.Response response = ask(i, "GET", "/v1/jobs/" + job.id, null, 2000);
        if (response == null) return null;
        if (response.status() == 404) {
            if (job.accepted && job.acceptedNanos < sent) violate("forgotten", job.id + " gets 404 at mast-" + i);
            return "404";
        }
        if (response.status() != 200) return null;
        job.lastAnswerNanos = System.nanoTime();
        String status = (String) response.map().get("status");
        checkStatus(job, status, sent);
        return status;
    }

    String cancel(JobInfo job, int i) {
        job.cancelAsked = true;
        long sent = System.nanoTime();
        Http.Response response = ask(i, "POST", "/v1/jobs/" + job.id + "/cancel", null, 5000);
        log("user: cancel " + job.id + " at mast-" + i + ": " + (response == null ? "none" : response.status() + " " + (response.body().length > 0 ? response.map() : "")));
        if (response == null || response.status() != 200) return null;
        String status = (String) response.map().get("status");
        checkStatus(job, status, sent);
        return status;
    }

    private boolean mayBeWithdrawn(JobInfo job) {
        if (job.cancelAsked) return true;
        if (job.awaits != null) for (Object id : job.awaits) if (mayBeWithdrawn(jobs.get((String) id))) return true;
        return false;
    }

    private long withdrawnBefore(JobInfo job) {
        long earliest = job.toldWithdrawnNanos == 0 ? Long.MAX_VALUE : job.toldWithdrawnNanos;
        if (job.awaits != null) for (Object id : job.awaits) earliest = Math.min(earliest, withdrawnBefore(jobs.get((String) id)));
        return earliest;
    }

    private void checkStatus(JobInfo job, String status, long sentNanos) {
        boolean ended = status.equals("done") || status.equals("withdrawn");
        if (job.terminal != null && !job.terminal.equals(status) && (ended || sentNanos > job.terminalNanos)) {
            violate("went_back", job.id + " was " + job.terminal + ", is " + status);
        }
        if (status.equals("done") && !allCompleted(job)) violate("not_done", job.id);
        if (status.equals("withdrawn") && !mayBeWithdrawn(job)) violate("went_back", job.id + " is withdrawn, nobody asked");
        if (!ended) {
            long since = withdrawnBefore(job);
            if (since != Long.MAX_VALUE && sentNanos - since > cancelSeconds * 1e9) violate("orphaned", job.id + " is " + status);
        }
        if (ended && job.terminal == null) {
            job.terminal = status;
            job.terminalNanos = System.nanoTime();
            if (status.equals("withdrawn")) job.toldWithdrawnNanos = System.nanoTime();
            log("user: " + job.id + " is " + status);
        }
    }
}

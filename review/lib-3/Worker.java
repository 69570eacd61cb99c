import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The worker of one machine, after PROTOCOL-linemast.md. */
final class Worker {
    static final class Task {
        final String piece;
        final long attempt;
        final World.JobInfo job;
        final int index;
        String status = "fetching";
        String cause;
        boolean saved;
        long doneNanos;
        long waitEndNanos;
        long saveEndNanos;

        Task(String piece, long attempt, World.JobInfo job, int index) {
            this.piece = piece;
            this.attempt = attempt;
            this.job = job;
            this.index = index;
        }

        boolean isOnMachine() {
            return status.equals("gathering") || status.equals("running") || status.equals("saving");
        }
    }

    final World world;
    final Cloud.Machine machine;
    final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private final Map<String, Long> fetchEnd = new LinkedHashMap<>();
    private Http.Client[] clients;
    private int node;
    private long watch = 1;
    private long tick = 0;
    private long helm = 0;
    private long leaseFromNanos;
    private boolean changed = false;
    volatile boolean destroyed = false;
    volatile boolean failsTasks = false;
    /** Until when the machine hangs: it sends nothing and reads nothing, and its tasks do not go on. */
    volatile long hangUntilNanos = 0;
    /** Until when reports and responses of this machine are lost. */
    volatile long cutUntilNanos = 0;

    Worker(World world, Cloud.Machine machine) {
        this.world = world;
        this.machine = machine;
        this.node = Math.floorMod(machine.name.hashCode(), 3);
        Http.daemon("worker-" + machine.name, this::run);
    }

    void destroy() {
        synchronized (world) {
            destroyed = true;
            for (Task task : new ArrayList<>(tasks.values())) end(task, "killed", false);
            tasks.clear();
        }
    }

    private boolean hangs() {
        return System.nanoTime() < hangUntilNanos;
    }

    private void run() {
        try {
            while (System.nanoTime() < machine.upNanos) Thread.sleep(10);
            clients = world.newClients();
            synchronized (world) {
                leaseFromNanos = System.nanoTime();
                }
            Http.daemon("tasks-" + machine.name, this::runTasks);
            long nextReport = System.nanoTime();
            long lastSent = 0;
            while (!destroyed) {
                Thread.sleep(20);
                if (hangs()) continue;
                long now = System.nanoTime();
                if (now < nextReport && !(changed && now - lastSent > 500_000_000L)) continue;
                lastSent = now;
                nextReport = now + (long) (world.reportSeconds * (0.75 + world.random.nextDouble() * 0.5) * 1e9);
                long retryAt = report();
                if (retryAt > 0) nextReport = retryAt;
            }
        } catch (InterruptedException e) {
            return;
        }
    }

    private void runTasks() {
        try {
            while (!destroyed) {
                Thread.sleep(20);
                synchronized (world) {
                    if (destroyed) return;
                    // A machine that hangs for longer than its lease has lost its tasks, whenever it goes on.
                    if (System.nanoTime() - leaseFromNanos > world.leaseSeconds * 1e9) expire();
                    if (!hangs()) step(System.nanoTime());
                }
            }
        } catch (InterruptedException e) {
            return;
        }
    }

    private void expire() {
        world.expiredLeases.incrementAndGet();
        world.log(machine.name + ": lease expired, session " + (watch + 1) + ", tasks " + tasks.keySet());
        for (Task task : new ArrayList<>(tasks.values())) end(task, "killed", false);
        tasks.clear();
        fetchEnd.clear();
        watch++;
        leaseFromNanos = System.nanoTime();
        changed = true;
    }

    /** Sends one report; returns when the next one is due after a failure, or 0. */
    private long report() throws InterruptedException {
        Map<String, Object> body;
        long session;
        long sentNanos = System.nanoTime();
        synchronized (world) {
            changed = false;
            session = watch;
            body = Cbor.map("rig", machine.name, "addr", "127.0.0.1:9", "build", machine.build, "yard", machine.yard,
                "loaners", machine.spot, "watch", watch, "tick", ++tick, "helm", helm, "recall_s", null, "pieces", pieces());
        }
        Http.Response response = null;
        if (System.nanoTime() < cutUntilNanos) {
            while (System.nanoTime() - sentNanos < 4_000_000_000L && !destroyed) {
                Thread.sleep(20);
            }
        } else {
            response = clients[node].call("POST", "/agent/beat", Cbor.encode(body), 4000);

            if (System.nanoTime() < cutUntilNanos) response = null;
        }
        while (hangs() && !destroyed) {
            Thread.sleep(20);
        }
        if (System.nanoTime() - sentNanos > 4_000_000_000L) {
            response = null;
            clients[node].close();
        }
        if (destroyed) return 0;
        if (response != null && response.status() == 200) {
            world.answeredReports.incrementAndGet();
            synchronized (world) {
                apply(response.map(), session, sentNanos);
            }
            return 0;
        }
        if (response != null && response.status() == 421 && response.body().length > 0) {
            int named = world.nodeIndex((String) response.map().get("bridge"));
            if (named >= 0 && named != node) {
                clients[node].close();
                node = named;
                return System.nanoTime() + world.random.nextInt(500) * 1_000_000L;
            }
        }
        node = (node + 1) % clients.length;
        return System.nanoTime() + 1_000_000_000L;
    }

    private List<Object> pieces() {
        List<Object> pieces = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> piece = Cbor.map("piece", task.piece, "try", task.attempt, "status", task.status);
            if (task.cause != null) piece.put("cause", task.cause);
            if (task.saved) piece.put("saved", true);
            pieces.add(piece);
        }
        return pieces;
    }

    @SuppressWarnings("unchecked")
    private void apply(Map<String, Object> response, long session, long sentNanos) {
        Object token = response.get("helm");
        if (token == null || (Long) token < helm) {
            world.log(machine.name + ": dropped a response with token " + token + " below " + helm);
            return;
        }
        if (session != watch) return;
        if ((Long) token > helm) changed = true;
        helm = (Long) token;
        leaseFromNanos = Math.max(leaseFromNanos, sentNanos);
        for (Map<String, Object> order : (List<Map<String, Object>>) response.get("orders")) {
            String piece = (String) order.get("piece");
            long attempt = (Long) order.get("try");
            String key = piece + "#" + attempt;
            switch ((String) order.get("verb")) {
                case "start" -> start(piece, attempt, key);
                case "halt" -> {
                    Task task = tasks.get(key);
                    if (task != null) halt(task, ((Number) order.get("wind_down_s")).doubleValue());
                }
                case "clear" -> {
                    Task task = tasks.get(key);
                    if (task != null && task.status.equals("ended")) tasks.remove(key);
                }
                default -> throw new IllegalArgumentException("verb " + order);
            }
        }
    }

    private void start(String piece, long attempt, String key) {
        if (tasks.containsKey(key)) return;
        changed = true;
        int slash = piece.indexOf('/');
        World.JobInfo job = world.jobs.get(piece.substring(0, slash));
        int index = Integer.parseInt(piece.substring(slash + 1));
        Task task = new Task(piece, attempt, job, index);
        tasks.put(key, task);
        world.onStartCommand(this, task);
        if (job == null || index >= job.pieces) {
            end(task, "unknown", false);
            return;
        }
        for (Task other : tasks.values()) {
            if (other != task && other.piece.equals(piece) && !other.status.equals("ended")) {
                end(task, "busy", false);
                return;
            }
        }
        double used = 0;
        double memory = 0;
        for (Task other : tasks.values()) {
            if (other.status.equals("ended")) continue;
            used += other.job.vcpus;
            memory += other.job.memoryGb;
        }
        World.Build build = world.builds.get(machine.build);
        if (used > build.vcpus + 1e-6 || memory > build.memoryGb + 1e-6) {
            end(task, "no_room", false);
            return;
        }
        if (!images.contains(job.bundle)) fetchEnd.putIfAbsent(job.bundle, System.nanoTime() + (long) (job.pullGb / 2.0 * 1e9));
    }

    private void halt(Task task, double windDown) {
        if (task.status.equals("ended")) return;
        changed = true;
        if (task.status.equals("running") && task.job.markEvery > 0 && windDown >= task.job.markSeconds) {
            task.status = "saving";
            task.saveEndNanos = System.nanoTime() + (long) (task.job.markSeconds * 1e9);
        } else if (!task.status.equals("saving") || windDown == 0) {
            end(task, "halted", false);
        }
    }

    private void end(Task task, String cause, boolean saved) {
        if (task.status.equals("ended")) return;
        boolean wasOn = task.isOnMachine();
        task.status = "ended";
        task.cause = cause;
        task.saved = saved;
        changed = true;
        if (wasOn) world.onLeave(this, task, cause);
    }

    private void step(long now) {
        for (Map.Entry<String, Long> e : new ArrayList<>(fetchEnd.entrySet())) {
            if (now < e.getValue()) continue;
            images.add(e.getKey());
            fetchEnd.remove(e.getKey());
        }
        for (Task task : new ArrayList<>(tasks.values())) {
            switch (task.status) {
                case "fetching" -> {
                    if (!images.contains(task.job.bundle)) continue;
                    changed = true;
                    boolean wasDone = world.isCompleted(task.piece);
                    task.status = task.job.gang ? "gathering" : "running";
                    task.waitEndNanos = now + (long) (world.gangWaitSeconds * 1e9);
                    task.doneNanos = now + (long) (task.job.runSeconds * 1e9);
                    world.onEnter(this, task);
                    if (wasDone) end(task, "done", false);
                    else if (failsTasks) end(task, "error", false);
                    else if (task.job.gang) world.gather(task, now);
                }
                case "gathering" -> {
                    if (now > task.waitEndNanos) end(task, "alone", false);
                }
                case "running" -> {
                    if (now < task.doneNanos) {
                        if (task.job.gang && world.mateLost(task)) end(task, "mates_gone", false);
                        continue;
                    }
                    world.complete(this, task);
                    end(task, "done", false);
                }
                case "saving" -> {
                    if (now > task.saveEndNanos) end(task, "halted", !task.job.gang);
                }
                default -> { }
            }
        }
    }
}

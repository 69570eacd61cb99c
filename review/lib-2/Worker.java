import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The worker of one machine, as PROTOCOL-linemast.md describes it. All its state is guarded by the lock of its site. */
final class Worker {
    static final class Task {
        final Worker worker;
        final Site.Job job;
        final String piece;
        final long attempt;
        String status = "fetching";
        String cause;
        boolean saved;
        long readyNanos;
        long endNanos;
        long beganNanos;
        long lonelySinceNanos;

        Task(Worker worker, Site.Job job, String piece, long attempt) {
            this.worker = worker;
            this.job = job;
            this.piece = piece;
            this.attempt = attempt;
        }

        /** From when it has its image until it exits. */
        boolean isOnMachine() {
            return status.equals("gathering") || status.equals("running") || status.equals("saving");
        }

        boolean isActive() {
            return !status.equals("ended");
        }
    }

    private final Site site;
    final String name;
    final Site.Type type;
    final String zone;
    final boolean spot;
    final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<Object> images = new LinkedHashSet<>();
    long watch = 1;
    private long tick;
    long helm;
    private int node;
    private long leaseFromNanos;
    private boolean isChanged;
    volatile boolean isGone;
    /** Whether this machine reaches a controller. */
    final boolean[] reaches = new boolean[Site.NODES];
    /** A hanging machine does nothing until then. */
    volatile long hangsUntilNanos;
    private final Http.Client[] clients = new Http.Client[Site.NODES];

    Worker(Site site, String name, Site.Type type, String zone, boolean spot) {
        this.site = site;
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        for (int i = 0; i < Site.NODES; i++) reaches[i] = true;
    }

    void begin() {
        leaseFromNanos = System.nanoTime();
        node = site.random.nextInt(Site.NODES);
        for (int i = 0; i < Site.NODES; i++) clients[i] = new Http.Client(site.ports[i]);
        Http.thread(() -> {
            while (!isGone) {
                Thread.sleep(20);
                pauseWhileHanging();
                synchronized (site) {
                    if (!isGone) step();
                }
            }
        });
        Http.thread(this::report);
    }

    private void pauseWhileHanging() throws InterruptedException {
        while (System.nanoTime() < hangsUntilNanos) Thread.sleep(10);
    }

    void end(String why) {
        isGone = true;
        forgetTasks(why);
    }

    private void forgetTasks(String why) {
        for (Task task : tasks.values()) {
            site.leave(task);
            if (task.isOnMachine()) site.note("%s: %s try %d gone: %s", name, task.piece, task.attempt, why);
        }
        tasks.clear();
    }

    private void step() {
        long now = System.nanoTime();
        if (now - leaseFromNanos > site.config.leaseS * 1e9) {
            forgetTasks("lease expired");
            watch++;
            tick = 0;
            leaseFromNanos = now;
            isChanged = true;
        }
        for (Task task : tasks.values()) {
            if (task.status.equals("fetching") && now >= task.readyNanos) {
                images.add(task.job.spec.get("bundle"));
                isChanged = true;
                task.status = task.job.isGang() ? "gathering" : "running";
                task.beganNanos = now;
                task.endNanos = now + (long) (task.job.runS * 1e9);
                if (site.completed.contains(task.piece)) {
                    exit(task, "done");
                    continue;
                }
                site.note("%s: %s try %d on the machine", name, task.piece, task.attempt);
                site.enter(task);
            } else if (task.status.equals("running") && !task.job.isGang() && now >= task.endNanos) {
                complete(task);
            } else if (task.status.equals("saving") && now >= task.endNanos) {
                task.saved = true;
                exit(task, "halted");
            } else if (task.status.equals("gathering") && now - task.beganNanos > site.config.gangWaitS * 1e9) {
                exit(task, "alone");
            }
        }
    }

    private void complete(Task task) {
        if (site.completed.add(task.piece)) task.job.done++;
        exit(task, "done");
    }

    private void exit(Task task, String cause) {
        site.leave(task);
        if (task.isOnMachine()) site.note("%s: %s try %d ended: %s", name, task.piece, task.attempt, cause);
        task.status = "ended";
        task.cause = cause;
        isChanged = true;
    }

    /** Starts gangs whose tasks are all ready, completes them, and ends those that have lost a task. */
    static void stepGangs(Site site) {
        long now = System.nanoTime();
        Map<String, List<Task>> attempts = new HashMap<>();
        for (Worker worker : site.workers.values()) {
            for (Task task : worker.tasks.values()) {
                if (task.job.isGang() && task.isOnMachine()) attempts.computeIfAbsent(task.job.id + "#" + task.attempt, k -> new ArrayList<>()).add(task);
            }
        }
        for (List<Task> tasks : attempts.values()) {
            Site.Job job = tasks.get(0).job;
            boolean isComplete = tasks.size() == job.pieces();
            boolean hangs = tasks.stream().anyMatch(t -> now < t.worker.hangsUntilNanos);
            if (isComplete && !hangs && tasks.stream().allMatch(t -> t.status.equals("gathering"))) {
                for (Task task : tasks) {
                    task.status = "running";
                    task.endNanos = now + (long) (job.runS * 1e9);
                    task.worker.isChanged = true;
                }
            } else if (isComplete && !hangs && tasks.stream().allMatch(t -> t.status.equals("running") && now >= t.endNanos)) {
                for (Task task : tasks) task.worker.complete(task);
            } else if (!isComplete || hangs) {
                for (Task task : tasks) {
                    if (!task.status.equals("running") || now < task.worker.hangsUntilNanos) continue;
                    if (task.lonelySinceNanos == 0) task.lonelySinceNanos = now;
                    if (now - task.lonelySinceNanos > site.config.gangPeerS * 0.8e9) task.worker.exit(task, "mates_gone");
                }
            }
        }
    }

    private Map<String, Object> body() {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("rig", name);
        body.put("addr", "127.0.0.1:9");
        body.put("build", type.name);
        body.put("yard", zone);
        body.put("loaners", spot);
        body.put("watch", watch);
        body.put("tick", ++tick);
        body.put("helm", helm);
        body.put("recall_s", null);
        List<Object> pieces = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> item = new LinkedHashMap<>();
            item.put("piece", task.piece);
            item.put("try", task.attempt);
            item.put("status", task.status);
            if (task.cause != null) item.put("cause", task.cause);
            if (task.saved) item.put("saved", true);
            pieces.add(item);
        }
        body.put("pieces", pieces);
        return body;
    }

    /** What a test does with a report before it is sent; may keep a copy. */
    interface Copy {
        void take(Worker worker, int node, Map<String, Object> report);
    }

    volatile Copy copy;

    private void report() throws Exception {
        long dueNanos = System.nanoTime() + site.random.nextInt(500) * 1_000_000L;
        long lastNanos = 0;
        while (!isGone) {
            Thread.sleep(10);
            pauseWhileHanging();
            long now = System.nanoTime();
            if (now < dueNanos && !(isChanged && now - lastNanos >= 500_000_000L)) continue;
            Map<String, Object> report;
            int to;
            synchronized (site) {
                isChanged = false;
                report = body();
                to = node;
            }
            lastNanos = now;
            if (copy != null) copy.take(this, to, report);
            Http.Response response = reaches[to] ? clients[to].call("POST", "/agent/beat", report, 4000) : silence();
            pauseWhileHanging();
            if (isGone) return;
            if (!reaches[to] || System.nanoTime() - now > 4_000_000_000L) response = null;
            dueNanos = lastNanos + (long) (site.config.reportS * (0.75 + site.random.nextDouble() / 2) * 1e9);
            if (response != null && response.status == 200) {
                synchronized (site) {
                    accept(response.map(), (Long) report.get("watch"), now);
                }
                continue;
            }
            Object other = response != null && response.status == 421 && response.body.length > 0 ? response.map().get("bridge") : null;
            if (other != null && !other.equals("mast-" + to)) {
                clients[to].close();
                node = Integer.parseInt(((String) other).substring(5));
                dueNanos = System.nanoTime() + 250_000_000L;
            } else {
                node = (to + 1) % Site.NODES;
                dueNanos = System.nanoTime() + 1_000_000_000L;
            }
        }
    }

    private Http.Response silence() throws InterruptedException {
        Thread.sleep(4000);
        return null;
    }

    private void accept(Map<String, Object> response, long reportWatch, long sentNanos) {
        Object token = response.get("helm");
        if (isGone || reportWatch != watch || token == null || ((Number) token).longValue() < helm) return;
        if (((Number) token).longValue() > helm) isChanged = true;
        helm = ((Number) token).longValue();
        leaseFromNanos = Math.max(leaseFromNanos, sentNanos);
        for (Object item : (List<?>) response.get("orders")) execute((Map<?, ?>) item);
    }

    private void execute(Map<?, ?> order) {
        String piece = (String) order.get("piece");
        long attempt = ((Number) order.get("try")).longValue();
        String key = piece + "#" + attempt;
        Task task = tasks.get(key);
        switch ((String) order.get("verb")) {
            case "start":
                if (task == null) start(key, piece, attempt);
                break;
            case "halt":
                if (task != null && task.isActive()) halt(task, ((Number) order.get("wind_down_s")).doubleValue());
                break;
            default:
                if (task != null && !task.isActive()) tasks.remove(key);
        }
    }

    private void start(String key, String piece, long attempt) {
        Site.Job job = site.jobs.get(piece.substring(0, piece.indexOf('/')));
        if (job == null) {
            site.violation("invented: start of %s on %s, which nobody submitted", piece, name);
            return;
        }
        Task task = new Task(this, job, piece, attempt);
        double used = tasks.values().stream().filter(Task::isActive).mapToDouble(t -> t.job.vcpus()).sum();
        boolean isBusy = tasks.values().stream().anyMatch(t -> t.isActive() && t.piece.equals(piece));
        boolean hasImage = images.contains(job.spec.get("bundle"));
        task.readyNanos = System.nanoTime() + (hasImage ? 0 : (long) (site.config.fetchS * 1e9));
        tasks.put(key, task);
        isChanged = true;
        if (isBusy || used + job.vcpus() > type.vcpus + 1e-9) {
            task.status = "ended";
            task.cause = isBusy ? "busy" : "no_room";
        }
    }

    private void halt(Task task, double windDownS) {
        double markS = ((Number) task.job.spec.get("mark_s")).doubleValue();
        boolean canSave = ((Number) task.job.spec.get("mark_every_s")).doubleValue() > 0 && windDownS >= markS;
        if (task.status.equals("running") && canSave) {
            task.status = "saving";
            task.endNanos = System.nanoTime() + (long) (markS * 1e9);
            isChanged = true;
        } else if (!task.status.equals("saving") || windDownS == 0) {
            exit(task, "halted");
        }
    }
}

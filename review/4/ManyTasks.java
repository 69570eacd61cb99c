import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Case 4: a few accepted arrays with many small tasks end every controller for memory, and again after each restart. */
final class ManyTasks {
    private static final int MACHINES = 28;
    private static final int ARRAYS = 6;
    private static final double WATCHED_S = 80.0;
    /** "back about 3 s after an end". */
    private static final double BACK_S = 3.0;

    private final Site site;
    private final int[] ends = new int[Site.NODES];
    private final double[] endedAt = new double[Site.NODES];
    private int endsForMemory;

    private ManyTasks(Site site) {
        this.site = site;
    }

    public static void main(String[] arguments) {
        Outcome.report(hasTrouble -> {
            try (Site site = new Site(new ApcpConfig(), Path.of("review/4/record.txt"))) {
                return new ManyTasks(site).run(hasTrouble);
            }
        });
    }

    private int run(boolean hasTrouble) throws Exception {
        for (int i = 0; i < MACHINES; i++) site.cloud.addOwned(site.config.types.get(i % 2), site.config.zones.get(i / 2 % 2));
        site.cloud.capacity = MACHINES;
        site.startAll();
        site.awaitLeader();
        List<Site.Job> jobs = new ArrayList<>();
        // A job of another team, which runs when the arrays come and is far within its guarantee.
        jobs.add(job("req-000001", "costing-gang", "nutritie", "gang", "normal", 1, 30.0, 51.0, 40.0));
        if (site.submit(jobs.get(0), 0).status != 201) return Outcome.NOT_RUN;
        Thread.sleep(6_000);
        // 100 CPUs each, in 100,000 tasks or in 100.
        for (int i = 0; i < ARRAYS; i++) {
            String team = i % 2 == 0 ? "brasov-kitchens" : "iasi-packers";
            String id = "req-00001" + i;
            Site.Job job = hasTrouble ? job(id, "price-pull", team, "sweep", "idle", 100_000, 0.001, 0.001, 20.0)
                : job(id, "price-pull", team, "sweep", "idle", 100, 1.0, 1.0, 20.0);
            jobs.add(job);
            Http.Response response = site.request(i % Site.NODES, "POST", "/v1/jobs", job.spec, 5000);
            if (response != null && response.status == 201) job.acceptedNanos = System.nanoTime();
        }
        long accepted = jobs.stream().filter(j -> j.acceptedNanos != 0).count();
        double end = site.seconds() + WATCHED_S;
        int failedPolls = 0;
        for (int round = 0; site.seconds() < end && jobs.stream().anyMatch(j -> !j.last.equals("done")); round++) {
            Thread.sleep(250);
            for (int node = 0; node < Site.NODES; node++) watch(node);
            if (round % 8 != 0) continue;
            for (Site.Job job : jobs) if (job.acceptedNanos != 0 && site.poll(job, round / 8 % Site.NODES) == null) failedPolls++;
        }
        int all = ends[0] + ends[1] + ends[2];
        System.out.printf("%d of %d jobs accepted, %d done; ends of controllers by themselves: %d, %d and %d, %d of them for memory; %d polls failed%n",
            accepted, jobs.size(), jobs.stream().filter(j -> j.last.equals("done")).count(), ends[0], ends[1], ends[2], endsForMemory, failedPolls);
        if (all > 0) return endsForMemory > 0 ? Outcome.BROKEN : Outcome.NOT_RUN;
        return hasTrouble || jobs.stream().allMatch(j -> j.last.equals("done")) ? Outcome.HELD : Outcome.NOT_RUN;
    }

    /** Records an end of a controller, and starts it again as the platform does. */
    private void watch(int node) throws Exception {
        if (site.isAlive(node)) return;
        if (endedAt[node] == 0) {
            endedAt[node] = site.seconds();
            ends[node]++;
            String log = site.log(node).strip();
            String last = log.substring(log.lastIndexOf('\n') + 1);
            site.note("controller mast-%d has ended by itself, exit code %d: %s", node, site.exitCode(node), last);
            if (last.contains("OutOfMemoryError")) endsForMemory++;
        } else if (site.seconds() - endedAt[node] >= BACK_S) {
            endedAt[node] = 0;
            site.start(node);
        }
    }

    private Site.Job job(String id, String lane, String team, String shape, String urgency, int pieces, double vcpus, double memory, double runS) {
        var spec = Site.spec(id, lane, team, shape, urgency, pieces, vcpus, memory);
        spec.put("guess_s", runS);
        return site.job(id, spec, runS);
    }
}

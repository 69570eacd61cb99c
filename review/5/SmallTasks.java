import java.nio.file.Path;
import java.util.List;

/** Case 5: an array of many small tasks makes the machines lose all their tasks, again and again. */
final class SmallTasks {
    private static final int MACHINES = 4;
    private static final double LARGE_RUN_S = 45.0;
    private static final double WATCHED_S = 92.0;

    public static void main(String[] arguments) {
        Outcome.report(SmallTasks::run);
    }

    private static int run(boolean hasTrouble) throws Exception {
        try (Site site = new Site(new PaioConfig(), Path.of("review/5/record.txt"))) {
            Site.Type wide = site.config.types.get(2);
            for (int i = 0; i < MACHINES; i++) site.cloud.addOwned(wide, site.config.zones.get(0));
            site.cloud.capacity = MACHINES;
            site.startAll();
            site.awaitLeader();
            // 160 of the team's 180 CPUs, one task on each machine.
            Site.Job large = job(site, "req-000001", "corpus-index", "corpus-care", "normal", MACHINES, 40.0, 200.0, LARGE_RUN_S);
            // 96 of the team's 180 CPUs, in 6,400 tasks or in 96.
            Site.Job small = hasTrouble
                ? job(site, "req-000002", "match-batch", "matching-desk", "idle", 6_400, 0.015, 0.1, 30.0)
                : job(site, "req-000002", "match-batch", "matching-desk", "idle", 96, 1.0, 2.4, 30.0);
            if (site.submit(large, 0).status != 201) return Outcome.NOT_RUN;
            awaitTasks(site, large, MACHINES);
            if (site.submit(small, 1).status != 201) return Outcome.NOT_RUN;
            double end = site.seconds() + WATCHED_S;
            int expiries = 0;
            while (site.seconds() < end && !(large.last.equals("done") && small.last.equals("done"))) {
                Thread.sleep(2_000);
                site.poll(large, 0);
                site.poll(small, 1);
                expiries = expiries(site);
                site.restartEnded();
                site.note("%d of %d large and %d of %d small tasks completed, leases of machines expired %d times",
                    large.done, large.pieces(), small.done, small.pieces(), expiries);
            }
            if (large.last.equals("done") && small.last.equals("done")) return Outcome.HELD;
            System.out.printf("after %.0f s: %d of %d large and %d of %d small tasks have completed; leases of machines have expired %d times%n",
                WATCHED_S, large.done, large.pieces(), small.done, small.pieces(), expiries);
            // No machine, controller or state service had any trouble; each machine has lost all its tasks twice at least.
            boolean isLost = large.done < large.pieces() && small.done == 0 && expiries >= 2 * MACHINES;
            return isLost ? Outcome.BROKEN : Outcome.NOT_RUN;
        }
    }

    private static Site.Job job(Site site, String id, String lane, String team, String urgency, int pieces, double vcpus, double memory, double runS) {
        var spec = Site.spec(id, lane, team, "sweep", urgency, pieces, vcpus, memory);
        spec.put("guess_s", runS);
        return site.job(id, spec, runS);
    }

    private static void awaitTasks(Site site, Site.Job job, int count) throws Exception {
        for (int i = 0; i < 300; i++) {
            if (site.tasksOf(job) == count) return;
            Thread.sleep(100);
        }
        throw new IllegalStateException("the tasks of " + job.id + " do not start");
    }

    private static int expiries(Site site) {
        synchronized (site) {
            return (int) List.copyOf(site.workers.values()).stream().mapToLong(w -> w.watch - 1).sum();
        }
    }
}

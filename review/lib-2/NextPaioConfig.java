import java.util.List;

/** The deployment `paio-linemast-next` of the page in kit/change. */
final class NextPaioConfig extends Site.Config {
    NextPaioConfig() {
        reportS = 3.0;
        leaseS = 16.0;
        cancelS = 41.0;
        state = "rps = 250.0\nwrite_rps = 50.0\nvalue_kb = 8.0\ntxn_ops = 40\n";
        cloudRps = 3.0;
        listLagS = 8.0;
        limits = "cpu_share = 0.085\nmem_mb = 181.0\nfd_limit = 500\n";
        zones = List.of("kamloops");
        types = List.of(new Site.Type("slim-4", 4, 32), new Site.Type("mid-32", 32, 128), new Site.Type("wide-64", 64, 512));
        teams = new Object[][] {
            {"intake-desk", 180.0, 600.0},
            {"matching-desk", 350.0, 3500.0},
            {"appeals-unit", 300.0, 700.0},
            {"corpus-care", 180.0, 500.0},
            {"college-liaison", 150.0, 400.0},
            {"policy-research", 400.0, 1200.0},
        };
    }
}

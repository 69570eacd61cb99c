import java.util.List;

/** The deployment `paio-linemast` of BRIEF-linemast.md. */
final class PaioConfig extends Site.Config {
    PaioConfig() {
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
            {"intake-desk", 60.0, 180.0},
            {"matching-desk", 60.0, 180.0},
            {"appeals-unit", 60.0, 180.0},
            {"corpus-care", 60.0, 180.0},
            {"college-liaison", 60.0, 180.0},
            {"policy-research", 60.0, 180.0},
        };
    }
}

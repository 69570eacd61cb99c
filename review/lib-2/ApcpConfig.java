/** The deployment `apcp-linemast` of BRIEF-linemast.md. */
final class ApcpConfig extends Site.Config {
    ApcpConfig() {
        teams = new Object[][] {
            {"brasov-kitchens", 104.0, 320.0},
            {"iasi-packers", 136.0, 320.0},
            {"courier-desk", 64.0, 96.0},
            {"pret-birou", 56.0, 96.0},
            {"nutritie", 64.0, 216.0},
            {"statistica", 96.0, 320.0},
        };
    }
}

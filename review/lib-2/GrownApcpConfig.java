/** The deployment `apcp-linemast-grown` of the page in kit/next. */
final class GrownApcpConfig extends Site.Config {
    GrownApcpConfig() {
        teams = new Object[][] {
            {"brasov-kitchens", 400.0, 1200.0},
            {"iasi-packers", 500.0, 1200.0},
            {"courier-desk", 250.0, 350.0},
            {"pret-birou", 200.0, 350.0},
            {"nutritie", 250.0, 800.0},
            {"statistica", 350.0, 1200.0},
        };
    }
}

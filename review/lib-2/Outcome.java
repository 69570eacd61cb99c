/** The exit codes of the program of a case; `run-case` turns them into those of its script. */
final class Outcome {
    /** The rule held. */
    static final int HELD = 0;
    /** The rule was broken. */
    static final int BROKEN = 3;
    /** The case could not run. */
    static final int NOT_RUN = 2;

    interface Case {
        /** Runs the case and returns its exit code. */
        int run(boolean hasTrouble) throws Exception;
    }

    private Outcome() {
    }

    /** Runs [testCase], with the disruption unless TROUBLE is 0, and ends this process with its exit code. */
    static void report(Case testCase) {
        int code;
        try {
            code = testCase.run(!"0".equals(System.getenv("TROUBLE")));
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
            code = NOT_RUN;
        }
        System.out.println(code == HELD ? "the rule held" : code == BROKEN ? "the rule was broken" : "not run");
        System.exit(code);
    }
}

package review2;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What all cases share: the record, a temporary folder, the processes that were started, and the exit code. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private static int nextHost = 1;

    final Record record;
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path folder;
    private final Path temporary;
    private final List<AutoCloseable> opened = new ArrayList<>();

    Case(Path folder) throws Exception {
        this.folder = folder;
        this.record = new Record(folder.resolve("record.txt"));
        this.temporary = Files.createTempDirectory("review2");
    }

    /** Runs the case and returns whether the rule held. */
    abstract boolean run() throws Exception;

    final Path temporary() {
        return temporary;
    }

    /** Makes {@code each} be closed at the end. */
    final <T extends AutoCloseable> T use(T each) {
        opened.add(each);
        return each;
    }

    /** Returns a loopback address that no other process of this case uses. */
    static synchronized String nextHost() {
        return "127." + (20 + ProcessHandle.current().pid() % 200) + "." + (1 + ProcessHandle.current().pid() / 200 % 250)
                + "." + nextHost++;
    }

    final void runAndExit() {
        int code = NOT_RUN;
        try {
            code = run() ? HELD : BROKEN;
        } catch (Throwable e) {
            record.say("the case could not run: %s", e);
            e.printStackTrace();
        }
        for (int index = opened.size() - 1; index >= 0; index--) {
            try {
                opened.get(index).close();
            } catch (Exception e) {
                // It has ended.
            }
        }
        keepLogs(code);
        record.say(code == HELD ? "the rule held" : code == BROKEN ? "the rule was broken" : "not run");
        record.close();
        System.exit(code);
    }

    private void keepLogs(int code) {
        try (Stream<Path> files = Files.walk(temporary)) {
            String keep = System.getenv("KEEP_LOGS");
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                if (keep != null && file.toString().endsWith(".log")) {
                    Files.copy(file, Path.of(keep).resolve(file.getFileName()),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
                Files.delete(file);
            }
        } catch (Exception e) {
            record.line("could not remove the temporary folder: %s", e);
        }
    }
}

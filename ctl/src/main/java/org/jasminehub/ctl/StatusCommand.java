package org.jasminehub.ctl;

import java.io.PrintStream;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.time.Clock;
import org.jasminehub.platform.PlatformException;

/** Shows the versions in force, or waits until a version is in force on every entry instance. */
final class StatusCommand {
    private static final long POLL_INTERVAL_MILLIS = 500;

    private final FleetStatusReader reader;
    private final Clock clock;
    private final Pause pause;
    private final PrintStream out;

    StatusCommand(FleetStatusReader reader, Clock clock, Pause pause, PrintStream out) {
        this.reader = reader;
        this.clock = clock;
        this.pause = pause;
        this.out = out;
    }

    void show(CommandOptions.Status options) {
        reader.read(options.entry)
                .statuses()
                .forEach((instance, status) -> out.println(formatStatus(instance, status)));
    }

    void watch(CommandOptions.Watch options) {
        long version = CommandOptions.parseVersion("--at-least", options.version);
        long deadlineMillis = clock.monotonicMillis() + TimeUnit.SECONDS.toMillis(options.timeoutSeconds);
        String lastLine = "";
        while (true) {
            FleetStatus fleet = read(options.entry, deadlineMillis);
            String line = fleet.progress(options.team, version);
            if (!line.equals(lastLine)) {
                out.println(line);
                lastLine = line;
            }
            if (fleet.isInForceEverywhere(options.team, version)) {
                return;
            }
            if (clock.monotonicMillis() >= deadlineMillis) {
                throw new CtlException(
                        ErrorCode.NOT_READY, "version " + version + " is not in force everywhere: " + line);
            }
            pause.pauseMillis(POLL_INTERVAL_MILLIS);
        }
    }

    private FleetStatus read(String entry, long deadlineMillis) {
        while (true) {
            try {
                return reader.read(entry);
            } catch (PlatformException e) {
                if (clock.monotonicMillis() >= deadlineMillis) {
                    throw e;
                }
                pause.pauseMillis(POLL_INTERVAL_MILLIS);
            }
        }
    }

    private static String formatStatus(String instance, Optional<StatusJson> status) {
        if (status.isEmpty()) {
            return instance + " no answer";
        }
        StringBuilder line = new StringBuilder(instance);
        line.append(status.get().current() ? " current" : " cannot-tell-whether-current");
        for (StatusJson.VersionJson document : status.get().documents()) {
            line.append(' ').append(document.team()).append('=').append(document.version());
        }
        return line.toString();
    }
}

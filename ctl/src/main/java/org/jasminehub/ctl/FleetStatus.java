package org.jasminehub.ctl;

import com.google.common.collect.ImmutableSortedMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What the entry instances of the fleet say of themselves.
 *
 * @param answers each instance's answer by name, nothing where it gave none
 */
record FleetStatus(ImmutableSortedMap<String, Optional<StatusJson>> answers) {
    /** The value of {@link #versionOn} where an instance has no document of the team. */
    static final long NO_VERSION = -1;

    /** Returns the version of {@code team} that {@code status} has in force. */
    static long versionOn(StatusJson status, String team) {
        return status.documents().stream()
                .filter(document -> document.team().equals(team))
                .mapToLong(StatusJson.VersionJson::version)
                .findFirst()
                .orElse(NO_VERSION);
    }

    /** Returns how many instances have {@code version} of {@code team} or a newer one in force. */
    int countInForce(String team, long version) {
        return (int) answers.values().stream()
                .flatMap(Optional::stream)
                .filter(status -> versionOn(status, team) >= version)
                .count();
    }

    /** Tells whether every instance answers and has {@code version} of {@code team} or a newer one in force. */
    boolean isInForceEverywhere(String team, long version) {
        return !answers.isEmpty() && countInForce(team, version) == answers.size();
    }

    /** Returns one line: how many instances have the version in force, and each that does not. */
    String progress(String team, long version) {
        List<String> lagging = new ArrayList<>();
        answers.forEach((instance, answer) -> {
            if (answer.isEmpty()) {
                lagging.add(instance + " (no answer)");
            } else if (versionOn(answer.get(), team) < version) {
                lagging.add(instance + " (" + describe(answer.get(), team) + ")");
            }
        });
        String line = "in force on " + countInForce(team, version) + " of " + answers.size();
        return lagging.isEmpty() ? line : line + ", lagging: " + String.join(", ", lagging);
    }

    private static String describe(StatusJson status, String team) {
        long version = versionOn(status, team);
        String text = version == NO_VERSION ? "no version" : "version " + version;
        return status.current() ? text : text + ", cannot tell whether it is current";
    }
}

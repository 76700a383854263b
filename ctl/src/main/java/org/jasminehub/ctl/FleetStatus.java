package org.jasminehub.ctl;

import com.google.common.collect.ImmutableSortedMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The status that each entry instance of the fleet reported.
 *
 * @param statuses the status of each instance by name, empty if the instance did not respond
 */
record FleetStatus(ImmutableSortedMap<String, Optional<StatusJson>> statuses) {
    /** Returned by {@link #versionOn} if an instance has no document of the team. */
    static final long NO_VERSION = -1;

    /** Returns the version of {@code team} that is in force according to {@code status}. */
    static long versionOn(StatusJson status, String team) {
        return status.documents().stream()
                .filter(document -> document.team().equals(team))
                .mapToLong(StatusJson.VersionJson::version)
                .findFirst()
                .orElse(NO_VERSION);
    }

    /** Returns how many instances have {@code version} of {@code team} or a newer one in force. */
    int countInForce(String team, long version) {
        return (int) statuses.values().stream()
                .flatMap(Optional::stream)
                .filter(status -> versionOn(status, team) >= version)
                .count();
    }

    /** Returns whether every instance responded and has {@code version} of {@code team} or a newer one in force. */
    boolean isInForceEverywhere(String team, long version) {
        return !statuses.isEmpty() && countInForce(team, version) == statuses.size();
    }

    /** Returns a line with the number of instances that have the version in force and the list of those that do not. */
    String progress(String team, long version) {
        List<String> lagging = new ArrayList<>();
        statuses.forEach((instance, status) -> {
            if (status.isEmpty()) {
                lagging.add(instance + " (no answer)");
            } else if (versionOn(status.get(), team) < version) {
                lagging.add(instance + " (" + describe(status.get(), team) + ")");
            }
        });
        String line = "in force on " + countInForce(team, version) + " of " + statuses.size();
        return lagging.isEmpty() ? line : line + ", lagging: " + String.join(", ", lagging);
    }

    private static String describe(StatusJson status, String team) {
        long version = versionOn(status, team);
        String text = version == NO_VERSION ? "no version" : "version " + version;
        return status.current() ? text : text + ", cannot tell whether it is current";
    }
}

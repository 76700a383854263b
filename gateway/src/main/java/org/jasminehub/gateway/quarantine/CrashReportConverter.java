package org.jasminehub.gateway.quarantine;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.quarantine.EndpointCrash;
import org.jasminehub.wire.generated.CrashSuspect;
import org.jasminehub.wire.generated.EndpointCrashReport;

/** Converts crash reports to and from messages between instances. */
final class CrashReportConverter {
    private CrashReportConverter() {}

    static EndpointCrashReport encode(EndpointCrash crash) {
        EndpointCrashReport.Builder report = EndpointCrashReport.newBuilder()
                .setEndpoint(crash.endpoint().value())
                .setStartedWallMillis(crash.startedWallMillis());
        crash.suspects()
                .forEach(suspect -> report.addSuspects(
                        CrashSuspect.newBuilder().setRequest(suspect.request()).addAllParts(suspect.parts())));
        return report.build();
    }

    /** Returns the report, without suspects that lack a name, or empty if it names no endpoint. */
    static Optional<EndpointCrash> decode(EndpointCrashReport report) {
        if (report.getEndpoint().isBlank()) {
            return Optional.empty();
        }
        List<org.jasminehub.core.quarantine.CrashSuspect> suspects = report.getSuspectsList().stream()
                .filter(suspect -> !suspect.getRequest().isBlank())
                .map(suspect -> new org.jasminehub.core.quarantine.CrashSuspect(
                        suspect.getRequest(), Set.copyOf(suspect.getPartsList())))
                .toList();
        return Optional.of(
                new EndpointCrash(new EndpointId(report.getEndpoint()), report.getStartedWallMillis(), suspects));
    }
}

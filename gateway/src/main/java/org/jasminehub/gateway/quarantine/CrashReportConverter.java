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

    /** Encodes a report that is sent {@code ageMillis} after the crash was observed. */
    static EndpointCrashReport encode(EndpointCrash crash, long ageMillis) {
        EndpointCrashReport.Builder report = EndpointCrashReport.newBuilder()
                .setEndpoint(crash.endpoint().value())
                .setStartedWallMillis(crash.startedWallMillis())
                .setObservedAgeMillis(ageMillis);
        crash.suspects()
                .forEach(suspect -> report.addSuspects(CrashSuspect.newBuilder()
                        .setRequest(suspect.request())
                        .addAllParts(suspect.parts())
                        .setDigest(suspect.digest())
                        .setSentAgeMillis(suspect.sentAgeMillis())));
        return report.build();
    }

    /** Returns the report, without suspects that lack a name, or empty if it names no endpoint. */
    static Optional<EndpointCrash> decode(EndpointCrashReport report) {
        if (report.getEndpoint().isBlank()) {
            return Optional.empty();
        }
        List<org.jasminehub.core.quarantine.CrashSuspect> suspects = report.getSuspectsList().stream()
                .filter(suspect -> !suspect.getRequest().isBlank() && suspect.getSentAgeMillis() >= 0)
                .map(suspect -> new org.jasminehub.core.quarantine.CrashSuspect(
                        suspect.getRequest(),
                        Set.copyOf(suspect.getPartsList()),
                        suspect.getDigest(),
                        suspect.getSentAgeMillis()))
                .toList();
        return Optional.of(new EndpointCrash(
                new EndpointId(report.getEndpoint()),
                report.getStartedWallMillis(),
                suspects,
                Math.max(0, report.getObservedAgeMillis())));
    }
}

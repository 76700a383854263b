package org.jasminehub.ctl;

import com.google.common.collect.ImmutableSortedMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import org.jasminehub.platform.PlatformException;

/** Reads the status of all entry instances, starting from the address of one of them. */
final class FleetStatusReader {
    private final Connections connections;

    FleetStatusReader(Connections connections) {
        this.connections = connections;
    }

    /**
     * Returns the status of the instance at {@code address} and of all entry instances that it lists as members.
     *
     * @throws PlatformException if the instance at {@code address} does not respond
     */
    FleetStatus read(String address) {
        StatusJson first = HistoryReader.await(connections.fetchStatus(address));
        Map<String, CompletionStage<StatusJson>> pendingStatuses = new LinkedHashMap<>();
        first.members().stream()
                .filter(StatusJson.MemberJson::isEntry)
                .filter(member -> !member.id().equals(first.instance()))
                .forEach(member -> pendingStatuses.put(member.id(), connections.fetchStatus(member.address())));
        TreeMap<String, Optional<StatusJson>> statuses = new TreeMap<>();
        statuses.put(first.instance(), Optional.of(first));
        pendingStatuses.forEach((instance, pendingStatus) -> statuses.put(instance, awaitStatus(pendingStatus)));
        return new FleetStatus(ImmutableSortedMap.copyOfSorted(statuses));
    }

    private static Optional<StatusJson> awaitStatus(CompletionStage<StatusJson> pendingStatus) {
        try {
            return Optional.of(HistoryReader.await(pendingStatus));
        } catch (PlatformException e) {
            return Optional.empty();
        }
    }
}

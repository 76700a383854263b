package org.jasminehub.ctl;

import com.google.common.collect.ImmutableSortedMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import org.jasminehub.platform.PlatformException;

/** Asks every entry instance that one of them knows. */
final class FleetStatusReader {
    private final Connections connections;

    FleetStatusReader(Connections connections) {
        this.connections = connections;
    }

    /** Returns the answers of the instance at {@code address} and of all entry instances in its list. */
    FleetStatus read(String address) {
        StatusJson first = LogFollower.await(connections.fetchStatus(address));
        Map<String, CompletionStage<StatusJson>> asked = new LinkedHashMap<>();
        first.members().stream()
                .filter(StatusJson.MemberJson::isEntry)
                .filter(member -> !member.id().equals(first.instance()))
                .forEach(member -> asked.put(member.id(), connections.fetchStatus(member.address())));
        TreeMap<String, Optional<StatusJson>> answers = new TreeMap<>();
        answers.put(first.instance(), Optional.of(first));
        asked.forEach((instance, answer) -> answers.put(instance, awaitAnswer(answer)));
        return new FleetStatus(ImmutableSortedMap.copyOfSorted(answers));
    }

    private static Optional<StatusJson> awaitAnswer(CompletionStage<StatusJson> answer) {
        try {
            return Optional.of(LogFollower.await(answer));
        } catch (PlatformException e) {
            return Optional.empty();
        }
    }
}

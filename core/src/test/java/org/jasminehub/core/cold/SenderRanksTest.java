package org.jasminehub.core.cold;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.junit.jupiter.api.Test;

final class SenderRanksTest {
    private static final int INSTANCES = 43;

    private static List<String> names() {
        List<String> names = new ArrayList<>();
        for (int number = 0; number < INSTANCES; number++) {
            names.add("entry-" + number);
        }
        return names;
    }

    private static EndpointIncarnation endpoint(int number) {
        return new EndpointIncarnation(new EndpointId("e-" + number), 1);
    }

    private static int rank(String self, List<String> live, EndpointIncarnation endpoint) {
        SenderRanks ranks = new SenderRanks(self);
        ranks.update(live, live.size());
        return ranks.rank(endpoint);
    }

    /** Fails if two instances with the same view take the same place. */
    @Test
    void testInstancesWithTheSameViewHaveDifferentRanks() {
        Set<Integer> seen = new HashSet<>();
        names().forEach(name -> seen.add(rank(name, names(), endpoint(1))));

        assertEquals(INSTANCES, seen.size());
    }

    /** Fails if the loss of one instance changes the order of the others. */
    @Test
    void testTheNextInstanceTakesThePlaceOfALostOne() {
        List<String> rest = names().subList(1, INSTANCES);
        int lost = rank("entry-0", names(), endpoint(1));
        for (String name : rest) {
            int before = rank(name, names(), endpoint(1));
            assertEquals(before > lost ? before - 1 : before, rank(name, rest, endpoint(1)));
        }
    }

    /** Fails if the hash makes few instances the senders of most endpoints. */
    @Test
    void testPlacesAreSpreadOverInstances() {
        int senders = 11;
        int endpoints = 720;
        double expected = (double) senders * endpoints / INSTANCES;
        for (String name : names()) {
            int places = 0;
            for (int number = 0; number < endpoints; number++) {
                places += rank(name, names(), endpoint(number)) < senders ? 1 : 0;
            }
            assertTrue(places > expected * 0.6 && places < expected * 1.4, name + " has " + places);
        }
    }
}

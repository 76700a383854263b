package org.jasminehub.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** Selects distinct endpoints at random. */
final class EndpointSampler {
    private final RandomGenerator random;

    EndpointSampler(RandomGenerator random) {
        this.random = random;
    }

    /** Returns {@code count} random elements of {@code states}, or all of them if there are no more than that. */
    List<EndpointState> sample(List<EndpointState> states, int count) {
        if (states.size() <= count) {
            return states;
        }
        List<EndpointState> remaining = new ArrayList<>(states);
        List<EndpointState> sample = new ArrayList<>(count);
        while (sample.size() < count) {
            int index = random.nextInt(remaining.size());
            EndpointState last = remaining.remove(remaining.size() - 1);
            boolean isLast = index == remaining.size();
            sample.add(isLast ? last : remaining.set(index, last));
        }
        return sample;
    }
}

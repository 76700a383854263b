package org.jasminehub.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** Draws distinct endpoints at random. */
final class EndpointSampler {
    private final RandomGenerator random;

    EndpointSampler(RandomGenerator random) {
        this.random = random;
    }

    /** Returns {@code count} of {@code states}, or all of them where there are no more. */
    List<EndpointState> sample(List<EndpointState> states, int count) {
        if (states.size() <= count) {
            return states;
        }
        List<EndpointState> rest = new ArrayList<>(states);
        List<EndpointState> sample = new ArrayList<>(count);
        while (sample.size() < count) {
            int index = random.nextInt(rest.size());
            EndpointState last = rest.remove(rest.size() - 1);
            boolean isLast = index == rest.size();
            sample.add(isLast ? last : rest.set(index, last));
        }
        return sample;
    }
}

package org.jasminehub.core.quarantine;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.jasminehub.core.internal.Checks;

/**
 * Parts of prompts that have crashed endpoints together and cannot be told apart; usually a single part.
 *
 * @param parts the ids of the parts, sorted; ids contain no commas
 */
public record PartCombination(List<String> parts) {
    private static final String SEPARATOR = ",";

    /** Creates a combination; {@code parts} must not be empty. */
    public PartCombination {
        Checks.that(!parts.isEmpty(), "parts", parts, "at least one part");
        parts = List.copyOf(new TreeSet<>(parts));
    }

    /** Returns the combination with the given text form; blank parts are ignored. */
    public static PartCombination parse(String text) {
        return new PartCombination(Arrays.stream(text.split(SEPARATOR))
                .filter(part -> !part.isBlank())
                .toList());
    }

    /** Returns whether all parts of the combination are among {@code others}. */
    boolean isIn(Collection<String> others) {
        return others.containsAll(parts);
    }

    /** Returns the parts that are not among {@code removed}; may be empty. */
    Set<String> without(Collection<String> removed) {
        Set<String> rest = new TreeSet<>(parts);
        rest.removeAll(removed);
        return rest;
    }

    /** Returns the text form. */
    @Override
    public String toString() {
        return String.join(SEPARATOR, parts);
    }
}

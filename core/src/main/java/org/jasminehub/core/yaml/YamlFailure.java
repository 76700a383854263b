package org.jasminehub.core.yaml;

/**
 * What was wrong in a YAML text.
 *
 * @param place the path of the key, for example {@code routes[2].deadlineMillis}
 * @param line the line in the text, counted from 1, or 0 where it is not known
 * @param found what stands there
 * @param expected what is allowed there
 */
public record YamlFailure(String place, int line, String found, String expected) {}

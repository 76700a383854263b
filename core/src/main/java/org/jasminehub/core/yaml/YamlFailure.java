package org.jasminehub.core.yaml;

/**
 * An error in a YAML text.
 *
 * @param path the path of the key, for example {@code routes[2].deadlineMillis}
 * @param line the line number, starting at 1, or 0 if it is not known
 * @param found a description of the value found
 * @param expected a description of the values allowed
 */
public record YamlFailure(String path, int line, String found, String expected) {}

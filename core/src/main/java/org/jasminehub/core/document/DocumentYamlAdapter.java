package org.jasminehub.core.document;

import org.jasminehub.core.error.DocumentException;
import org.jasminehub.core.yaml.StrictYamlReader;
import org.jasminehub.core.yaml.YamlException;
import org.jasminehub.core.yaml.YamlFailure;

/**
 * Reads a team's document from YAML.
 *
 * <pre>{@code
 * TeamDocument document = new DocumentYamlAdapter().read(Files.readString(path));
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class DocumentYamlAdapter {
    /** The maximum length of a document. */
    public static final int MAX_CHARACTERS = 256 * 1024;

    private final StrictYamlReader reader = new StrictYamlReader();

    /**
     * Returns the document that {@code text} describes.
     *
     * @throws DocumentException if the text is too long or does not conform to the schema
     */
    public TeamDocument read(String text) {
        if (text.length() > MAX_CHARACTERS) {
            throw new DocumentException(
                    "(root)", text.length() + " characters", "at most " + MAX_CHARACTERS + " characters");
        }
        try {
            return reader.read(text, TeamDocument.class);
        } catch (YamlException e) {
            YamlFailure failure = e.failure();
            throw new DocumentException(
                    "line " + failure.line() + ", " + failure.path(), failure.found(), failure.expected());
        }
    }
}

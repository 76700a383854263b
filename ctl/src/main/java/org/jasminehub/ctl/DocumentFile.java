package org.jasminehub.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.jasminehub.core.document.DocumentYamlAdapter;
import org.jasminehub.core.document.TeamDocument;
import org.jasminehub.core.error.ErrorCode;

/**
 * A document that was read from a file and is valid against the schema.
 *
 * @param text the file's text
 * @param document the parsed document
 */
record DocumentFile(String text, TeamDocument document) {
    /**
     * Reads the document from the single file in {@code files}.
     *
     * @throws CtlException if {@code files} does not hold exactly one name or the file cannot be read
     */
    static DocumentFile read(List<String> files) {
        if (files.size() != 1) {
            throw new CtlException(ErrorCode.ARGUMENT_INVALID, "expected exactly one FILE, found " + files.size());
        }
        String text = readText(files.get(0));
        return new DocumentFile(text, new DocumentYamlAdapter().read(text));
    }

    static String readText(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new CtlException(ErrorCode.ARGUMENT_INVALID, file + " cannot be read as a text file", e);
        }
    }
}

package org.jasminehub.runtime.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.jasminehub.core.yaml.StrictYamlReader;
import org.jasminehub.core.yaml.YamlException;
import org.jasminehub.core.yaml.YamlFailure;

/**
 * Loads YAML settings files into records.
 *
 * <pre>{@code
 * EntrySettings settings = new SettingsLoader().load(path, EntrySettings.class);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class SettingsLoader {
    /**
     * Loads the settings in {@code file}.
     *
     * @throws SettingsException if the file cannot be read or has an unknown, missing or invalid key
     */
    public <T> T load(Path file, Class<T> type) {
        try {
            String text = Files.readString(file);
            T settings = PlainSettingsReader.read(text, type);
            return settings == null ? new StrictYamlReader().read(text, type) : settings;
        } catch (IOException e) {
            throw new SettingsException(file.toString(), "(file)", "no readable file", "a YAML file");
        } catch (YamlException e) {
            YamlFailure failure = e.failure();
            String location = "line " + failure.line() + ", " + failure.path();
            throw new SettingsException(file.toString(), location, failure.found(), failure.expected());
        }
    }
}

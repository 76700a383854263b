package org.jasminehub.runtime.settings;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.JasminehubException;

/** Thrown when a settings file is invalid; the message states the file, the key, the value found and the value expected. */
public final class SettingsException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for the value {@code found} at {@code location} in {@code file} where {@code expected} is required. */
    public SettingsException(String file, String location, String found, String expected) {
        super(ErrorCode.SETTINGS_INVALID, file + ": " + location + ": found " + found + ", expected " + expected, null);
    }
}

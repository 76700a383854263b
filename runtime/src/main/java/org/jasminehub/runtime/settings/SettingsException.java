package org.jasminehub.runtime.settings;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.JasminehubException;

/** A settings file cannot be used; the message names file, key, value and what was expected. */
public final class SettingsException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    /** Creates the failure for {@code found} at {@code place} in {@code file} where {@code expected} was allowed. */
    public SettingsException(String file, String place, String found, String expected) {
        super(ErrorCode.SETTINGS_INVALID, file + ": " + place + ": found " + found + ", expected " + expected, null);
    }
}

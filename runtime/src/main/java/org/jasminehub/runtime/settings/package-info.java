/** Loading and validation of settings files. */
@NullMarked
package org.jasminehub.runtime.settings;

import org.jspecify.annotations.NullMarked;

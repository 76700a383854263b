/** Failures: one exception type each, all with a stable code. */
@NullMarked
package org.jasminehub.core.error;

import org.jspecify.annotations.NullMarked;

/** The clock of a running process. */
@NullMarked
package org.jasminehub.runtime.time;

import org.jspecify.annotations.NullMarked;

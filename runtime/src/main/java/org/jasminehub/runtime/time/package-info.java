/** The system clock. */
@NullMarked
package org.jasminehub.runtime.time;

import org.jspecify.annotations.NullMarked;

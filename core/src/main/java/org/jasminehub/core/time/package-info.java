/** The clock that decisions read. */
@NullMarked
package org.jasminehub.core.time;

import org.jspecify.annotations.NullMarked;

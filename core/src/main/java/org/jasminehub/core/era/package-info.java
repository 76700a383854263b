/** Decisions about a store that was restored from a copy and has lost its latest records. Performs no I/O. */
@NullMarked
package org.jasminehub.core.era;

import org.jspecify.annotations.NullMarked;

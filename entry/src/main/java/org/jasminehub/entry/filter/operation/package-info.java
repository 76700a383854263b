/** Operations that run at most once, on the side of the entry instance. */
@NullMarked
package org.jasminehub.entry.filter.operation;

import org.jspecify.annotations.NullMarked;

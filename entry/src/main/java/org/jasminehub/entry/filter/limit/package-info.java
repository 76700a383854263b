/** Holds workspaces to their limits. */
@NullMarked
package org.jasminehub.entry.filter.limit;

import org.jspecify.annotations.NullMarked;

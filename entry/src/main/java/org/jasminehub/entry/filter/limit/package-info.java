/** Enforces the limits of workspaces. */
@NullMarked
package org.jasminehub.entry.filter.limit;

import org.jspecify.annotations.NullMarked;

/** The entry instance's side of operations that run at most once. */
@NullMarked
package org.jasminehub.entry.filter.operation;

import org.jspecify.annotations.NullMarked;

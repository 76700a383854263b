/** Rate and concurrency limits of workspaces, shared between the entry instances that serve their callers. */
@NullMarked
package org.jasminehub.core.limit;

import org.jspecify.annotations.NullMarked;

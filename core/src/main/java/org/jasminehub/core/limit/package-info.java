/** The limits of workspaces, shared over the entry instances that their callers use. */
@NullMarked
package org.jasminehub.core.limit;

import org.jspecify.annotations.NullMarked;

/** Validated names of instances, failure domains, workspaces and endpoints. */
@NullMarked
package org.jasminehub.core.identity;

import org.jspecify.annotations.NullMarked;

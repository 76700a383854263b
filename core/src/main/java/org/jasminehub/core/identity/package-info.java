/** Validated names of instances, failure domains, workspaces, endpoints, teams and requests. */
@NullMarked
package org.jasminehub.core.identity;

import org.jspecify.annotations.NullMarked;

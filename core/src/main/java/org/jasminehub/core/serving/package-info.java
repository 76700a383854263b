/** Immutable values of the gateway configuration: routes, workspaces, endpoints and engines. */
@NullMarked
package org.jasminehub.core.serving;

import org.jspecify.annotations.NullMarked;

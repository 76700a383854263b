/** What a gateway serves: routes, workspaces, endpoints and engines, as immutable values. */
@NullMarked
package org.jasminehub.core.serving;

import org.jspecify.annotations.NullMarked;

/** Argument checks; not part of the public API. */
@NullMarked
package org.jasminehub.core.internal;

import org.jspecify.annotations.NullMarked;

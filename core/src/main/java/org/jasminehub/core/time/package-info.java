/** Time sources. */
@NullMarked
package org.jasminehub.core.time;

import org.jspecify.annotations.NullMarked;

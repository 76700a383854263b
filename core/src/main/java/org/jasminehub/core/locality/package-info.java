/** Decides which calls leave the local failure domain, and where to. */
@NullMarked
package org.jasminehub.core.locality;

import org.jspecify.annotations.NullMarked;

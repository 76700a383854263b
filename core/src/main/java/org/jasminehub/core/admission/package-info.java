/** Which work an agent lets its endpoint run, when, and which it refuses. */
@NullMarked
package org.jasminehub.core.admission;

import org.jspecify.annotations.NullMarked;

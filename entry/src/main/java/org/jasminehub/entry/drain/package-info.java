/** Drains an entry instance before it stops. */
@NullMarked
package org.jasminehub.entry.drain;

import org.jspecify.annotations.NullMarked;

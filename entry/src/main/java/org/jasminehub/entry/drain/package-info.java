/** The planned stop of an entry instance. */
@NullMarked
package org.jasminehub.entry.drain;

import org.jspecify.annotations.NullMarked;

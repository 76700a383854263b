/** The planned stop of an entry instance or an agent. */
@NullMarked
package org.jasminehub.core.drain;

import org.jspecify.annotations.NullMarked;

/** Numbered events that are written to the log. */
@NullMarked
package org.jasminehub.core.event;

import org.jspecify.annotations.NullMarked;

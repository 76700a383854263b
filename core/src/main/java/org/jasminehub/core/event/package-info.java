/** Numbered events, one for each decision worth a log line. */
@NullMarked
package org.jasminehub.core.event;

import org.jspecify.annotations.NullMarked;

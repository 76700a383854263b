/** Streams of numbered events, cut into whole events. */
@NullMarked
package org.jasminehub.core.stream;

import org.jspecify.annotations.NullMarked;

/** Splits byte streams of server-sent events into complete events. */
@NullMarked
package org.jasminehub.core.stream;

import org.jspecify.annotations.NullMarked;

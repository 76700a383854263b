/** Cold endpoints, and how many requests each instance may send to them without exchanging messages. */
@NullMarked
package org.jasminehub.core.cold;

import org.jspecify.annotations.NullMarked;

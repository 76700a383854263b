/** The time that an entry instance needs after an outage of the store. */
@NullMarked
package org.jasminehub.bench.recovery;

import org.jspecify.annotations.NullMarked;

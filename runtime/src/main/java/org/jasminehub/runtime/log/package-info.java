/** The event log, which writes numbered events as JSON lines. */
@NullMarked
package org.jasminehub.runtime.log;

import org.jspecify.annotations.NullMarked;

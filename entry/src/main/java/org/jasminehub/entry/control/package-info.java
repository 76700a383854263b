/** Controllers of the state of this instance, which run on one thread and publish the state as immutable snapshots. */
@NullMarked
package org.jasminehub.entry.control;

import org.jspecify.annotations.NullMarked;

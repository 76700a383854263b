/** Controllers: what this instance knows, kept on one thread and published as immutable snapshots. */
@NullMarked
package org.jasminehub.entry.control;

import org.jspecify.annotations.NullMarked;

/** Reads documents from the log or from peers, publishes those in force to traffic threads and writes snapshots. */
@NullMarked
package org.jasminehub.entry.control.documents;

import org.jspecify.annotations.NullMarked;

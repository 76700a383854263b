/** Documents in force: read from the log or from peers, decided on, published to traffic threads, and snapshotted. */
@NullMarked
package org.jasminehub.entry.control.documents;

import org.jspecify.annotations.NullMarked;

/** The history of documents: what the log's records mean, who publishes snapshots, and how peers repair each other. */
@NullMarked
package org.jasminehub.core.history;

import org.jspecify.annotations.NullMarked;

/** Tracks the other instances and their states. */
@NullMarked
package org.jasminehub.entry.control.members;

import org.jspecify.annotations.NullMarked;

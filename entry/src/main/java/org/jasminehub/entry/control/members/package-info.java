/** Keeps what this instance knows of the others. */
@NullMarked
package org.jasminehub.entry.control.members;

import org.jspecify.annotations.NullMarked;

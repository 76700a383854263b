/** Decisions about failure domains that the operator evacuates. Performs no I/O. */
@NullMarked
package org.jasminehub.core.evacuation;

import org.jspecify.annotations.NullMarked;

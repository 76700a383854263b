/** Running a non-idempotent operation at most once, and saying truthfully what is known of it. */
@NullMarked
package org.jasminehub.core.operation;

import org.jspecify.annotations.NullMarked;

/** Error codes and the base classes of exceptions. */
@NullMarked
package org.jasminehub.core.error;

import org.jspecify.annotations.NullMarked;

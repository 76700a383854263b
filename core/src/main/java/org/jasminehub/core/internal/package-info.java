/** Argument checks shared by this module. */
@NullMarked
package org.jasminehub.core.internal;

import org.jspecify.annotations.NullMarked;

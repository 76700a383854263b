/** The filter chain that a request passes. */
@NullMarked
package org.jasminehub.entry.filter;

import org.jspecify.annotations.NullMarked;

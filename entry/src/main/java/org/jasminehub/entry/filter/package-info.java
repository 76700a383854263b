/** The filter chain that processes every request. */
@NullMarked
package org.jasminehub.entry.filter;

import org.jspecify.annotations.NullMarked;

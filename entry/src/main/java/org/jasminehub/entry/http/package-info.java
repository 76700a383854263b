/** The HTTP interface for callers and operators. */
@NullMarked
package org.jasminehub.entry.http;

import org.jspecify.annotations.NullMarked;

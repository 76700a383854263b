/** The callers' and operators' HTTP interface. */
@NullMarked
package org.jasminehub.entry.http;

import org.jspecify.annotations.NullMarked;

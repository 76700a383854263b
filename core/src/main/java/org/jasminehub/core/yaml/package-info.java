/** Strict reading of YAML into records. */
@NullMarked
package org.jasminehub.core.yaml;

import org.jspecify.annotations.NullMarked;

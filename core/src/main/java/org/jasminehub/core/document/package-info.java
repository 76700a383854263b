/** Team documents and their YAML format. */
@NullMarked
package org.jasminehub.core.document;

import org.jspecify.annotations.NullMarked;

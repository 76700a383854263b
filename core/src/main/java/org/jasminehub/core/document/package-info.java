/** The team's document: its model and its YAML form. */
@NullMarked
package org.jasminehub.core.document;

import org.jspecify.annotations.NullMarked;

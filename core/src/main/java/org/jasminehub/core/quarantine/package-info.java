/** Attribution of endpoint crashes to parts of prompts. */
@NullMarked
package org.jasminehub.core.quarantine;

import org.jspecify.annotations.NullMarked;

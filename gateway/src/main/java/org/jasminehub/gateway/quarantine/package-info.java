/** Detection of crashed endpoints, and the quarantine of prompts that crash them, shared by all instances. */
@NullMarked
package org.jasminehub.gateway.quarantine;

import org.jspecify.annotations.NullMarked;

/** The agent's part in running operations at most once. */
@NullMarked
package org.jasminehub.agent.operation;

import org.jspecify.annotations.NullMarked;

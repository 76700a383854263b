/** The agent's side of operations that run at most once. */
@NullMarked
package org.jasminehub.agent.operation;

import org.jspecify.annotations.NullMarked;

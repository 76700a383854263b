/**
 * Runs non-idempotent operations at most once and reports their outcome without guessing.
 *
 * <p>Each operation is identified by an idempotency key. The agent that is responsible for a key is its home. The home
 * tables, whose changes are ordered by the shared log, assign the keys of a service to agents.
 */
@NullMarked
package org.jasminehub.core.operation;

import org.jspecify.annotations.NullMarked;

/** Expert placement: the agent beside each engine, and the coordinator that moves a group to a new expert map. */
@NullMarked
package org.jasminehub.gateway.experts;

import org.jspecify.annotations.NullMarked;

/** Expert maps: the agent beside an engine, and the coordinator that brings a group to a new map. */
@NullMarked
package org.jasminehub.gateway.experts;

import org.jspecify.annotations.NullMarked;

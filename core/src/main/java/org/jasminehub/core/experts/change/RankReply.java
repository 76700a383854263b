package org.jasminehub.core.experts.change;

/**
 * The reply of a rank to an order.
 *
 * @param fencingNumber the fencing number of the order
 * @param code the result of the order
 * @param state the state of the rank after the order
 * @param presentStep the step that the rank has reached
 */
public record RankReply(long fencingNumber, OrderCode code, RankState state, long presentStep) {}

package org.jasminehub.core.experts.change;

/**
 * A rank's answer to an order.
 *
 * @param fencingNumber the number that the order carried
 * @param code how the order was taken
 * @param state the rank's state after it
 * @param presentStep the step that the rank had reached
 */
public record RankReply(long fencingNumber, OrderCode code, RankState state, long presentStep) {}

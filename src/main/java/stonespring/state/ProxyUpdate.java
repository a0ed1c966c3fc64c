package stonespring.state;

import java.util.Map;
import stonespring.model.AckId;
import stonespring.model.ProxyId;

/**
 * What one reply of the decisions orders for one proxy: the keys to set under its subtree (null
 * deletes), which take effect together or not at all.
 *
 * @param lines what the channel charges for it, its head not counted
 * @param mark the number to answer, or null
 * @param orderedAt when it was ordered, tenths of a millisecond
 */
public record ProxyUpdate(
    ProxyId proxy, Map<String, String> changes, int lines, AckId mark, long orderedAt) {}

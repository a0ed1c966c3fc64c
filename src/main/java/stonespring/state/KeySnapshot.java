package stonespring.state;

import java.util.List;

/**
 * The keys of a subtree at one point in time.
 *
 * @param sequence the highest sequence number among the updates that the snapshot reflects
 */
public record KeySnapshot(List<KeyUpdate> keys, long sequence) {}

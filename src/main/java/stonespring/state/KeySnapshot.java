package stonespring.state;

import java.util.List;

/**
 * The keys of a subtree at one moment.
 *
 * @param sequence the highest sequence number that the snapshot includes
 */
public record KeySnapshot(List<KeyUpdate> keys, long sequence) {}

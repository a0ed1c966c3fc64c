package stonespring.state;

/**
 * One change of a published key.
 *
 * @param sequence higher than that of every earlier update
 * @param value the new value; empty if the key is deleted
 */
public record KeyUpdate(String key, long sequence, byte[] value) {}

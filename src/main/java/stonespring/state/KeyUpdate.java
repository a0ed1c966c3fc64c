package stonespring.state;

/**
 * A change of one published key.
 *
 * @param sequence sequence number, higher than that of every earlier update
 * @param value the new value; an empty array if the key is deleted
 */
public record KeyUpdate(String key, long sequence, byte[] value) {}

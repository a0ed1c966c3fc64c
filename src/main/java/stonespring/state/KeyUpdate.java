package stonespring.state;

/** One change of the published state, as any front may tell it; an empty value deletes the key. */
public record KeyUpdate(String key, long sequence, byte[] value) {}

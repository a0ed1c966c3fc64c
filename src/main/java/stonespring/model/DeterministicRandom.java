package stonespring.model;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * A random sequence that depends on nothing but its seed and the number of draws. Not thread-safe.
 */
public final class DeterministicRandom {
  private static final double CRC32_VALUE_COUNT = 4294967296.0; // values of a CRC-32

  private final long seed;
  private long drawCount;

  /** Starts the sequence of a seed. */
  public DeterministicRandom(long seed) {
    this.seed = seed;
  }

  /** Draws a number from 0, inclusive, to 1, exclusive. */
  public double nextDouble() {
    CRC32 checksum = new CRC32();
    checksum.update(ByteBuffer.allocate(2 * Long.BYTES).putLong(seed).putLong(drawCount++).flip());
    return checksum.getValue() / CRC32_VALUE_COUNT;
  }
}

package stonespring.model;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * A pseudo-random sequence whose n-th number depends only on the seed and on n: the CRC-32 of both.
 * Not thread-safe.
 */
public final class DeterministicRandom {
  private static final double CRC32_VALUE_COUNT = 4294967296.0; // 2^32

  private final long seed;
  private long drawCount;

  /** Creates the sequence for a seed. */
  public DeterministicRandom(long seed) {
    this.seed = seed;
  }

  /** Returns the next number, from 0 inclusive to 1 exclusive. */
  public double nextDouble() {
    CRC32 checksum = new CRC32();
    checksum.update(ByteBuffer.allocate(2 * Long.BYTES).putLong(seed).putLong(drawCount++).flip());
    return checksum.getValue() / CRC32_VALUE_COUNT;
  }
}

package stonespring.proxy.routing;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/** Random numbers that follow from a seed and the count of draws alone. */
final class SeededRandom {
  private static final double RANGE = 4294967296.0;

  private final long seed;
  private long draws;

  SeededRandom(long seed) {
    this.seed = seed;
  }

  /** The next number, from 0 to below 1. */
  double next() {
    CRC32 checksum = new CRC32();
    checksum.update(ByteBuffer.allocate(2 * Long.BYTES).putLong(seed).putLong(draws++).flip());
    return checksum.getValue() / RANGE;
  }
}

package stonespring.zmtp;

import io.netty.buffer.ByteBuf;
import java.util.Optional;

/**
 * Decodes the greeting that starts each connection. Each byte is checked as it arrives, so that a
 * peer that uses another protocol is rejected at its first byte.
 */
final class GreetingDecoder {
  /** The fixed size of a greeting. */
  static final int GREETING_BYTES = 64;

  private static final String LOCATION = "greeting";
  private static final int SIGNATURE_END_INDEX = 9;
  private static final int MAJOR_VERSION_INDEX = 10;
  private static final int MINOR_VERSION_INDEX = 11;
  private static final int MECHANISM_INDEX = 12;
  private static final int AS_SERVER_INDEX = 32;
  private static final int MIN_MAJOR_VERSION = 3;

  private int checkedBytes;

  /** Decodes the greeting; returns empty and consumes nothing while it is incomplete. */
  Optional<ZmtpPart.Greeting> decode(ByteBuf in) {
    int start = in.readerIndex();
    int available = Math.min(GREETING_BYTES, in.readableBytes());
    while (checkedBytes < available) {
      checkByte(checkedBytes, in.getUnsignedByte(start + checkedBytes));
      checkedBytes++;
    }
    if (checkedBytes < GREETING_BYTES) {
      return Optional.empty();
    }
    ZmtpPart.Greeting greeting =
        new ZmtpPart.Greeting(
            in.getUnsignedByte(start + MINOR_VERSION_INDEX),
            decodeMechanism(in, start),
            in.getByte(start + AS_SERVER_INDEX) == 1);
    in.skipBytes(GREETING_BYTES);
    return Optional.of(greeting);
  }

  private static void checkByte(int index, int value) {
    boolean valid =
        switch (index) {
          case 0 -> value == 0xFF;
          case SIGNATURE_END_INDEX -> value == 0x7F;
          case MAJOR_VERSION_INDEX -> value >= MIN_MAJOR_VERSION;
          case AS_SERVER_INDEX -> value <= 1;
          default ->
              index < MECHANISM_INDEX || index > AS_SERVER_INDEX || isMechanismCharacter(value);
        };
    if (!valid) {
      String problem = "byte " + index + " has the invalid value 0x" + Integer.toHexString(value);
      if (index == MAJOR_VERSION_INDEX) {
        problem += ": versions before 3.0 are not supported";
      }
      throw new ZmtpProtocolException(LOCATION, problem);
    }
  }

  private static boolean isMechanismCharacter(int value) {
    return value == 0
        || value >= 'A' && value <= 'Z'
        || value >= '0' && value <= '9'
        || "-_.+".indexOf(value) >= 0;
  }

  private static String decodeMechanism(ByteBuf in, int start) {
    StringBuilder mechanism = new StringBuilder();
    for (int i = MECHANISM_INDEX; i < AS_SERVER_INDEX; i++) {
      char character = (char) in.getUnsignedByte(start + i);
      if (character != 0) {
        mechanism.append(character);
      }
    }
    return mechanism.toString();
  }
}

package stonespring.testbed;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits one direction of a ZMTP connection into messages, each a list of frames. Not thread-safe.
 */
final class WireTapFrameParser {
  private static final int GREETING_BYTES = 64;
  private static final int SHORT_HEADER_BYTES = 2;
  private static final int LONG_HEADER_BYTES = 9;
  private static final int MORE_FLAG = 1;
  private static final int LONG_FLAG = 2;
  private static final int COMMAND_FLAG = 4;

  private final ByteArrayOutputStream unparsed = new ByteArrayOutputStream();
  private final List<byte[]> frames = new ArrayList<>();
  private int greetingBytesLeft = GREETING_BYTES;

  /** Parses the next bytes and returns the messages completed by them; skips command frames. */
  List<List<byte[]>> parse(byte[] bytes) {
    List<List<byte[]>> messages = new ArrayList<>();
    unparsed.writeBytes(bytes);
    byte[] all = unparsed.toByteArray();
    int position = Math.min(greetingBytesLeft, all.length);
    greetingBytesLeft -= position;
    while (position + SHORT_HEADER_BYTES <= all.length) {
      int flags = all[position];
      boolean longFrame = (flags & LONG_FLAG) != 0;
      if (longFrame && position + LONG_HEADER_BYTES > all.length) {
        break;
      }
      long size =
          longFrame
              ? ByteBuffer.wrap(all, position + 1, Long.BYTES).getLong()
              : all[position + 1] & 0xFF;
      int bodyStart = position + (longFrame ? LONG_HEADER_BYTES : SHORT_HEADER_BYTES);
      if (bodyStart + size > all.length) {
        break;
      }
      position = (int) (bodyStart + size);
      if ((flags & COMMAND_FLAG) == 0) {
        frames.add(Arrays.copyOfRange(all, bodyStart, position));
        if ((flags & MORE_FLAG) == 0) {
          messages.add(List.copyOf(frames));
          frames.clear();
        }
      }
    }
    unparsed.reset();
    unparsed.write(all, position, all.length - position);
    return messages;
  }
}

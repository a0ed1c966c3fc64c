package stonespring.zmtp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Bytes to {@link Part}s (RFC 37, "Formal Grammar"): the greeting, then frames, gathered to whole
 * messages. Every byte of a greeting is judged as it comes, so that a peer that speaks something
 * else is cut off at its first byte and not after 64 of them.
 */
final class ZmtpDecoder extends ByteToMessageDecoder {
  static final int GREETING = 64;
  static final int MORE = 1;
  static final int LONG = 2;
  static final int COMMAND = 4;
  private static final int MECHANISM_AT = 12;
  private static final int AS_SERVER_AT = 32;

  private final ZmtpLimits limits;
  private boolean greeted;
  private boolean dead;
  private int judged;
  private List<byte[]> frames = new ArrayList<>();
  private long messageBytes;

  ZmtpDecoder(ZmtpLimits limits) {
    this.limits = limits;
    setCumulator(MERGE_CUMULATOR);
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    if (dead) {
      in.skipBytes(in.readableBytes()); // after a fault nothing that follows has a meaning
      return;
    }
    try {
      if (!greeted) {
        greeting(in, out);
      } else {
        frame(in, out);
      }
    } catch (ZmtpException e) {
      dead = true;
      throw e;
    }
  }

  private void greeting(ByteBuf in, List<Object> out) {
    int start = in.readerIndex();
    for (; judged < Math.min(GREETING, in.readableBytes()); judged++) {
      judge(judged, in.getUnsignedByte(start + judged));
    }
    if (judged < GREETING) {
      return;
    }
    StringBuilder mechanism = new StringBuilder();
    for (int i = MECHANISM_AT; i < AS_SERVER_AT; i++) {
      char c = (char) in.getUnsignedByte(start + i);
      if (c != 0) {
        mechanism.append(c);
      }
    }
    out.add(
        new Part.Greeting(
            in.getUnsignedByte(start + 11),
            mechanism.toString(),
            in.getByte(start + AS_SERVER_AT) == 1));
    in.skipBytes(GREETING);
    greeted = true;
  }

  private static void judge(int at, int value) {
    boolean good =
        switch (at) {
          case 0 -> value == 0xFF;
          case 9 -> value == 0x7F;
          case 10 -> value >= 3;
          case AS_SERVER_AT -> value <= 1;
          default ->
              at < MECHANISM_AT
                  || at > AS_SERVER_AT
                  || value == 0
                  || value >= 'A' && value <= 'Z'
                  || value >= '0' && value <= '9'
                  || "-_.+".indexOf(value) >= 0;
        };
    if (!good) {
      throw new ZmtpException(
          "greeting: byte "
              + at
              + " is 0x"
              + Integer.toHexString(value)
              + (at == 10 ? ": versions before 3.0 are not spoken" : ""));
    }
  }

  private void frame(ByteBuf in, List<Object> out) {
    int start = in.readerIndex();
    if (in.readableBytes() < 2) {
      if (in.isReadable()) {
        flags(in.getUnsignedByte(start));
      }
      return;
    }
    int flags = flags(in.getUnsignedByte(start));
    boolean isLong = (flags & LONG) != 0;
    int head = isLong ? 9 : 2;
    if (in.readableBytes() < head) {
      return;
    }
    long size = isLong ? in.getLong(start + 1) : in.getUnsignedByte(start + 1);
    if (size < 0 || size > limits.frameBytes()) {
      throw new ZmtpException(
          "frame: size "
              + Long.toUnsignedString(size)
              + " is over the limit of "
              + limits.frameBytes()
              + " bytes");
    }
    if (in.readableBytes() < head + size) {
      return;
    }
    in.skipBytes(head);
    byte[] body = new byte[(int) size];
    in.readBytes(body);
    if ((flags & COMMAND) != 0) {
      out.add(command(body));
      return;
    }
    frames.add(body);
    messageBytes += size;
    if (frames.size() > limits.frames() || messageBytes > limits.messageBytes()) {
      throw new ZmtpException(
          "message: over the limit of "
              + limits.frames()
              + " frames or "
              + limits.messageBytes()
              + " bytes");
    }
    if ((flags & MORE) == 0) {
      out.add(new Part.Message(frames));
      frames = new ArrayList<>();
      messageBytes = 0;
    }
  }

  private int flags(int flags) {
    if (flags > 7 || (flags & COMMAND) != 0 && (flags & MORE) != 0) {
      throw new ZmtpException("frame: flags 0x" + Integer.toHexString(flags) + " are not allowed");
    }
    if ((flags & COMMAND) != 0 && !frames.isEmpty()) {
      throw new ZmtpException("frame: a command stands inside a message");
    }
    return flags;
  }

  private static Part.Command command(byte[] body) {
    int length = body.length == 0 ? 0 : body[0] & 0xFF;
    if (length == 0 || length >= body.length + 1 || 1 + length > body.length) {
      throw new ZmtpException(
          "command: its name's length " + length + " does not fit its " + body.length + " bytes");
    }
    String name = new String(body, 1, length, StandardCharsets.US_ASCII);
    byte[] data = new byte[body.length - 1 - length];
    System.arraycopy(body, 1 + length, data, 0, data.length);
    return new Part.Command(name, data);
  }
}

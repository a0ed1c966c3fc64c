package stonespring.zmtp;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Decodes frames into commands and complete messages (RFC 37, "Formal Grammar"). */
final class FrameDecoder {
  private static final String LOCATION = "frame";
  private static final int SHORT_HEADER_BYTES = 2;
  private static final int LONG_HEADER_BYTES = 9;

  private final ZmtpLimits limits;

  /** Frames received so far of a message whose last frame has not arrived. */
  private List<byte[]> pendingFrames = new ArrayList<>();

  private long pendingMessageBytes;

  FrameDecoder(ZmtpLimits limits) {
    this.limits = limits;
  }

  /** Decodes the next frame; consumes nothing while the frame is incomplete. */
  void decode(ByteBuf in, List<Object> out) {
    if (!in.isReadable()) {
      return;
    }
    int flags = in.getUnsignedByte(in.readerIndex());
    checkFlags(flags);
    boolean isLong = FrameFlags.has(flags, FrameFlags.LONG);
    int headerBytes = isLong ? LONG_HEADER_BYTES : SHORT_HEADER_BYTES;
    if (in.readableBytes() < headerBytes) {
      return;
    }
    int sizeIndex = in.readerIndex() + 1;
    long size = isLong ? in.getLong(sizeIndex) : in.getUnsignedByte(sizeIndex);
    checkSize(size);
    if (in.readableBytes() < headerBytes + size) {
      return;
    }
    in.skipBytes(headerBytes);
    byte[] body = new byte[(int) size];
    in.readBytes(body);
    if (FrameFlags.has(flags, FrameFlags.COMMAND)) {
      out.add(decodeCommand(body));
    } else {
      addFrame(body);
      if (!FrameFlags.has(flags, FrameFlags.MORE)) {
        out.add(takeCompleteMessage());
      }
    }
  }

  /** Returns the bytes of the frames of a message whose last frame has not arrived. */
  long pendingMessageBytes() {
    return pendingMessageBytes;
  }

  void discardPendingFrames() {
    takeCompleteMessage();
  }

  private void checkFlags(int flags) {
    if (!FrameFlags.areValid(flags)) {
      throw new ZmtpProtocolException(
          LOCATION,
          "flags 0x"
              + Integer.toHexString(flags)
              + " are not valid: expected any of MORE (1), LONG (2) and COMMAND (4), but not MORE"
              + " together with COMMAND");
    }
    if (FrameFlags.has(flags, FrameFlags.COMMAND) && !pendingFrames.isEmpty()) {
      throw new ZmtpProtocolException(
          LOCATION, "a command arrived between the frames of a message");
    }
  }

  private void checkSize(long size) {
    if (size < 0 || size > limits.maxFrameBytes()) {
      throw new ZmtpProtocolException(
          LOCATION,
          "size "
              + Long.toUnsignedString(size)
              + " is over the limit of "
              + limits.maxFrameBytes()
              + " bytes");
    }
  }

  private void addFrame(byte[] body) {
    pendingFrames.add(body);
    pendingMessageBytes += body.length;
    if (pendingFrames.size() > limits.maxFrames()
        || pendingMessageBytes > limits.maxMessageBytes()) {
      throw new ZmtpProtocolException(
          "message",
          pendingFrames.size()
              + " frames with "
              + pendingMessageBytes
              + " bytes are over the limit of "
              + limits.maxFrames()
              + " frames or "
              + limits.maxMessageBytes()
              + " bytes");
    }
  }

  private ZmtpPart.Message takeCompleteMessage() {
    ZmtpPart.Message message = new ZmtpPart.Message(pendingFrames);
    pendingFrames = new ArrayList<>();
    pendingMessageBytes = 0;
    return message;
  }

  private static ZmtpPart.Command decodeCommand(byte[] body) {
    int nameLength = body.length == 0 ? 0 : Byte.toUnsignedInt(body[0]);
    int dataIndex = 1 + nameLength;
    if (nameLength == 0 || dataIndex > body.length) {
      throw new ZmtpProtocolException(
          "command",
          "name length " + nameLength + " does not fit into a body of " + body.length + " bytes");
    }
    String name = new String(body, 1, nameLength, StandardCharsets.US_ASCII);
    byte[] data = new byte[body.length - dataIndex];
    System.arraycopy(body, dataIndex, data, 0, data.length);
    return new ZmtpPart.Command(name, data);
  }
}

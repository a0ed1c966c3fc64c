package stonespring.zmtp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

final class ZmtpDecoderTest {
  private static final ZmtpLimits LIMITS = new ZmtpLimits(1000, 2000, 8, 10_000, 4, 100, 10);

  private static List<String> decode(byte[] bytes, SplittableRandom splitRandom) {
    EmbeddedChannel channel = new EmbeddedChannel(new ZmtpDecoder(LIMITS));
    List<String> parts = new ArrayList<>();
    try {
      for (int offset = 0; offset < bytes.length; ) {
        int pieceBytes =
            Math.min(
                bytes.length - offset,
                splitRandom == null ? bytes.length : 1 + splitRandom.nextInt(20));
        channel.writeInbound(Unpooled.copiedBuffer(bytes, offset, pieceBytes));
        offset += pieceBytes;
      }
    } catch (DecoderException e) {
      assertTrue(
          e.getCause() instanceof ZmtpProtocolException,
          () -> "expected a protocol violation, got: " + e);
      parts.add("violation " + e.getCause().getMessage());
    }
    for (Object part = channel.readInbound(); part != null; part = channel.readInbound()) {
      parts.add(describe((ZmtpPart) part));
    }
    channel.finishAndReleaseAll();
    return parts;
  }

  private static String describe(ZmtpPart part) {
    if (part instanceof ZmtpPart.Message message) {
      return "message of " + message.frames().stream().map(frame -> frame.length).toList();
    }
    return part instanceof ZmtpPart.Command command ? "command " + command.name() : part.toString();
  }

  /** Encodes a greeting, READY and five messages with random frame sizes: seven parts. */
  private static byte[] encodeStream(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ByteBuf out = Unpooled.buffer();
    out.writeBytes(ZmtpEncoder.encodeGreeting(false))
        .writeBytes(ReadyCommand.encode(SocketType.DEALER));
    for (int i = 0; i < 5; i++) {
      List<byte[]> frames = new ArrayList<>();
      for (int f = 0; f <= random.nextInt(4); f++) {
        frames.add(new byte[random.nextInt(400)]);
      }
      ByteBuf message = ZmtpEncoder.encodeMessage(UnpooledByteBufAllocator.DEFAULT, frames);
      out.writeBytes(message);
      message.release();
    }
    byte[] bytes = new byte[out.readableBytes()];
    out.readBytes(bytes);
    return bytes;
  }

  @Property(tries = 200, seed = "1")
  void decodesTheSamePartsWhereverTheBytesAreSplit(@ForAll long seed) {
    byte[] bytes = encodeStream(seed);
    List<String> unsplitParts = decode(bytes, null);
    assertEquals(7, unsplitParts.size());
    assertEquals(unsplitParts, decode(bytes, new SplittableRandom(seed)));
  }

  @Property(tries = 500, seed = "1")
  void throwsOnlyProtocolExceptionsOnCorruptedBytes(@ForAll long seed) {
    byte[] bytes = encodeStream(seed);
    SplittableRandom random = new SplittableRandom(seed ^ 7);
    for (int i = 0; i < 3; i++) {
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
    }
    decode(bytes, random);
  }

  @Property(tries = 500, seed = "1")
  void rejectsStreamAtFirstByteWhenItIsNotZmtp(@ForAll @Size(min = 1, max = 300) byte[] bytes) {
    List<String> parts = decode(bytes, null);
    if (bytes[0] != (byte) 0xFF) {
      assertEquals(1, parts.size());
      assertTrue(parts.get(0).startsWith("violation greeting: byte 0"), parts.get(0));
    }
  }

  private static String violationMessage(int... afterGreeting) {
    ByteBuf out = ZmtpEncoder.encodeGreeting(false);
    for (int b : afterGreeting) {
      out.writeByte(b);
    }
    EmbeddedChannel channel = new EmbeddedChannel(new ZmtpDecoder(LIMITS));
    return assertThrows(DecoderException.class, () -> channel.writeInbound(out))
        .getCause()
        .getMessage();
  }

  @Test
  void rejectsFramesThatViolateTheProtocol() {
    assertTrue(violationMessage(8, 0).contains("flags 0x8"));
    assertTrue(
        violationMessage(5, 0).contains("flags 0x5"), "a command must not have the MORE flag");
    assertTrue(
        violationMessage(1, 0, 4, 0).contains("command arrived between the frames of a message"));
    assertTrue(violationMessage(2, 0, 0, 0, 0, 0, 0, 4, 0).contains("over the limit of 1000"));
    assertTrue(
        violationMessage(2, 0xFF, 0, 0, 0, 0, 0, 0, 0).contains("over the limit"),
        "a frame size with the sign bit set is rejected");
    assertTrue(
        violationMessage(1, 0, 1, 0, 1, 0, 1, 0, 1, 0, 1, 0, 1, 0, 1, 0, 1, 0)
            .contains("9 frames with 0 bytes are over the limit of 8 frames"));
    assertTrue(violationMessage(4, 1, 5).contains("name length 5 does not fit"));
  }
}

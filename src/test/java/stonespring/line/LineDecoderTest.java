package stonespring.line;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

final class LineDecoderTest {
  private static final int MAX_LINE_BYTES = 64;

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static List<LineMessage> read(EmbeddedChannel channel) {
    List<LineMessage> messages = new ArrayList<>();
    for (Object next = channel.readInbound(); next != null; next = channel.readInbound()) {
      messages.add((LineMessage) next);
    }
    return messages;
  }

  private static EmbeddedChannel channel() {
    return new EmbeddedChannel(new LineDecoder(MAX_LINE_BYTES));
  }

  @Test
  void decodesSameMessagesWhereverBytesAreSplit() {
    byte[] all = bytes("ACK id=17 seq=905 ms=310.4\r\nPING\r\n");
    List<LineMessage> whole =
        List.of(
            new LineMessage(
                "ACK", Map.of("id", "17", "seq", "905", "ms", "310.4"), Optional.empty()),
            new LineMessage("PING", Map.of(), Optional.empty()));
    for (int cut = 0; cut <= all.length; cut++) {
      EmbeddedChannel channel = channel();
      channel.writeInbound(Unpooled.wrappedBuffer(Arrays.copyOf(all, cut)));
      channel.writeInbound(Unpooled.wrappedBuffer(Arrays.copyOfRange(all, cut, all.length)));
      assertEquals(whole, read(channel), "messages when the bytes are split at " + cut);
    }
    EmbeddedChannel channel = channel();
    for (byte single : all) {
      channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {single}));
    }
    assertEquals(whole, read(channel), "messages when each byte arrives alone");
  }

  @Test
  void rejectsMalformedLines() {
    for (String malformed :
        new String[] {
          "PING\n",
          "\r\n",
          "x".repeat(MAX_LINE_BYTES + 1),
          "A \u0000\r\n",
          "A b=\u007f\r\n",
          "A \tb\r\n"
        }) {
      DecoderException e =
          assertThrows(
              DecoderException.class,
              () -> channel().writeInbound(Unpooled.wrappedBuffer(bytes(malformed))),
              malformed);
      assertTrue(e.getCause() instanceof MalformedLineException, malformed);
    }
    byte[] notUtf8 = {'A', ' ', (byte) 0xC3, '(', '\r', '\n'};
    assertThrows(
        DecoderException.class, () -> channel().writeInbound(Unpooled.wrappedBuffer(notUtf8)));
  }

  @Test
  void reportsInvalidFieldsAsErrorOfTheirMessageOnly() {
    EmbeddedChannel channel = channel();
    channel.writeInbound(
        Unpooled.wrappedBuffer(bytes("LOAD a=1 b\r\nLOAD a=1 a=2\r\nLOAD =1\r\nLOAD a=\r\n")));
    List<LineMessage> read = read(channel);
    assertEquals(Optional.of("word 2 is not name=value"), read.get(0).error());
    assertEquals(Optional.of("'a' comes twice"), read.get(1).error());
    assertEquals(Optional.of("word 1 is not name=value"), read.get(2).error());
    assertEquals(Optional.empty(), read.get(3).error());
    assertEquals("", read.get(3).fields().get("a"));
  }

  @Property(tries = 300)
  void decodesArbitraryBytesAsLinesOrReportsOneViolation(
      @ForAll @Size(max = 300) byte[] input, @ForAll @Size(max = 8) int[] cuts) {
    EmbeddedChannel channel = channel();
    int from = 0;
    try {
      for (int cut : cuts) {
        int to = from + Math.floorMod(cut, input.length - from + 1);
        channel.writeInbound(Unpooled.wrappedBuffer(Arrays.copyOfRange(input, from, to)));
        from = to;
      }
      channel.writeInbound(Unpooled.wrappedBuffer(Arrays.copyOfRange(input, from, input.length)));
    } catch (DecoderException e) {
      assertTrue(e.getCause() instanceof MalformedLineException, String.valueOf(e.getCause()));
      read(channel);
      channel.writeInbound(Unpooled.wrappedBuffer(bytes("PING\r\n")));
      assertEquals(List.of(), read(channel), "nothing is decoded after a violation");
    }
    channel.releaseInbound();
  }
}

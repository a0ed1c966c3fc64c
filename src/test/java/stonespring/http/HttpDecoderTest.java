package stonespring.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class HttpDecoderTest {
  private static final int MAX_BODY_BYTES = 1000;

  private static List<String> decodeRequests(byte[] bytes, SplittableRandom splitRandom) {
    return decode(HttpDecoder.forRequests(MAX_BODY_BYTES), bytes, splitRandom);
  }

  private static List<String> decodeResponses(String text) {
    return decode(HttpDecoder.forResponses(MAX_BODY_BYTES), bytes(text), null);
  }

  /**
   * Decodes bytes and returns descriptions of the messages; that of a protocol violation comes
   * first, if there is one.
   *
   * @param splitRandom determines where the bytes are split; null to pass them in one piece
   */
  private static List<String> decode(
      HttpDecoder decoder, byte[] bytes, SplittableRandom splitRandom) {
    EmbeddedChannel channel = new EmbeddedChannel(decoder);
    List<String> results = new ArrayList<>();
    try {
      for (int offset = 0; offset < bytes.length; ) {
        int pieceBytes =
            Math.min(
                bytes.length - offset,
                splitRandom == null ? bytes.length : 1 + splitRandom.nextInt(5));
        channel.writeInbound(Unpooled.copiedBuffer(bytes, offset, pieceBytes));
        offset += pieceBytes;
      }
    } catch (DecoderException e) {
      assertTrue(
          e.getCause() instanceof MalformedHttpException,
          () -> "expected a MalformedHttpException, got: " + e);
      results.add("violation " + e.getCause().getMessage());
    }
    for (HttpMessage next = channel.readInbound(); next != null; next = channel.readInbound()) {
      results.add(describe(next));
    }
    channel.finishAndReleaseAll();
    return results;
  }

  private static String describe(HttpMessage message) {
    if (message instanceof HttpRequest request) {
      return request.method() + " " + request.target() + " " + request.text();
    }
    HttpResponse response = (HttpResponse) message;
    return response.status() + " " + response.reason() + " " + response.text();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static final String PIPELINED =
      "POST /a HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc\r\nGET /b HTTP/1.1\r\nhost: x\r\n\r\n"
          + "POST /c HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n4;x=1\r\nwiki\r\n0\r\ntrailer: t\r\n\r\n";

  @Property(tries = 100, seed = "1")
  void decodesPipelinedRequestsWhereverTheBytesAreSplit(@ForAll long seed) {
    assertEquals(
        List.of("POST /a abc", "GET /b ", "POST /c wiki"),
        decodeRequests(bytes(PIPELINED), new SplittableRandom(seed)));
  }

  @Property(tries = 300, seed = "1")
  void throwsOnlyMalformedHttpExceptionsOnCorruptedBytes(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    byte[] bytes = bytes(PIPELINED);
    for (int i = 0; i < 3; i++) {
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
    }
    decodeRequests(bytes, random);
  }

  /** Requests that different HTTP implementations could interpret differently. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "content-length: 3\r\ncontent-length: 4\r\n\r\nabc",
        "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: xchunked\r\n\r\n",
        "content-length: +3\r\n\r\nabc",
        "content-length: 3, 3\r\n\r\nabc",
        "content-length : 3\r\n\r\nabc",
        "a: b\r\n c\r\n\r\n",
        "a: b\ncontent-length: 3\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n-1\r\n",
        "transfer-encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
        "content-length: 1001\r\n\r\n",
        "host: a\r\nhost: b\r\n\r\n"
      })
  void rejectsAmbiguousRequestsUsedForSmuggling(String afterRequestLine) {
    List<String> results = decodeRequests(bytes("POST / HTTP/1.1\r\n" + afterRequestLine), null);
    assertTrue(results.size() == 1 && results.get(0).startsWith("violation "), results.toString());
  }

  @Test
  void rejectsResponseWithoutLength() {
    assertEquals(
        List.of("200 OK hi"), decodeResponses("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi"));
    assertTrue(decodeResponses("HTTP/1.1 200 OK\r\n\r\n").get(0).contains("content-length"));
  }

  /** Splits a streamed response at each position. */
  @Test
  void emitsChunksAsTheyArrive() {
    byte[] bytes =
        bytes(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n5\r\ndefgh\r\n0\r\n\r\n");
    for (int splitIndex = 0; splitIndex <= bytes.length; splitIndex++) {
      EmbeddedChannel channel = new EmbeddedChannel(HttpDecoder.forStreamedResponses(10));
      channel.writeInbound(Unpooled.wrappedBuffer(bytes, 0, splitIndex));
      channel.writeInbound(Unpooled.wrappedBuffer(bytes, splitIndex, bytes.length - splitIndex));
      assertEquals(200, ((HttpResponse) channel.readInbound()).status());
      StringBuilder body = new StringBuilder();
      Object next = channel.readInbound();
      for (; next instanceof StreamPart.Bytes part; next = channel.readInbound()) {
        body.append(new String(part.bytes(), StandardCharsets.US_ASCII));
      }
      assertEquals(
          "abcdefgh", body.toString(), "messages when the bytes are split at " + splitIndex);
      assertEquals(new StreamPart.End(), next);
    }
  }
}

package stonespring.zmtp;

import io.netty.buffer.ByteBuf;
import java.util.List;
import java.util.Optional;
import stonespring.netty.FailStopDecoder;

/** Decodes a byte stream into {@link ZmtpPart}s: one greeting, then commands and messages. */
final class ZmtpDecoder extends FailStopDecoder {
  private final GreetingDecoder greetingDecoder = new GreetingDecoder();
  private final FrameDecoder frameDecoder;
  private boolean greetingDecoded;

  ZmtpDecoder(ZmtpLimits limits) {
    this.frameDecoder = new FrameDecoder(limits);
    setCumulator(MERGE_CUMULATOR);
  }

  @Override
  protected void decode(ByteBuf in, List<Object> out) {
    if (greetingDecoded) {
      frameDecoder.decode(in, out);
      return;
    }
    Optional<ZmtpPart.Greeting> greeting = greetingDecoder.decode(in);
    if (greeting.isPresent()) {
      greetingDecoded = true;
      out.add(greeting.get());
    }
  }

  @Override
  protected long decodedPartBytes() {
    return frameDecoder.pendingMessageBytes();
  }

  @Override
  protected void discardDecodedParts() {
    frameDecoder.discardPendingFrames();
  }
}

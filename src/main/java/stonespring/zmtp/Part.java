package stonespring.zmtp;

import java.util.List;

/**
 * What the decoder makes of a peer's bytes, in order: one greeting, then commands and whole
 * messages.
 */
sealed interface Part {
  record Greeting(int minor, String mechanism, boolean asServer) implements Part {}

  record Command(String name, byte[] data) implements Part {}

  record Message(List<byte[]> frames) implements Part {}
}

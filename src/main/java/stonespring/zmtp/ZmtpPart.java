package stonespring.zmtp;

import java.util.List;

/** A decoded unit of the byte stream: first one greeting, then commands and messages. */
sealed interface ZmtpPart {
  /** The greeting of a peer of ZMTP 3.{@code minorVersion} or of a later major version. */
  record Greeting(int minorVersion, String mechanism, boolean asServer) implements ZmtpPart {}

  /** A command frame. */
  record Command(String name, byte[] data) implements ZmtpPart {}

  /** A complete message of at least one frame. */
  record Message(List<byte[]> frames) implements ZmtpPart {}
}

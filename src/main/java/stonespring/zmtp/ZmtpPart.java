package stonespring.zmtp;

import java.util.List;

/** What a peer sends, in order: one greeting, then commands and whole messages. */
sealed interface ZmtpPart {
  /** The greeting of a peer of version 3.{@code minorVersion} or later. */
  record Greeting(int minorVersion, String mechanism, boolean asServer) implements ZmtpPart {}

  /** A command frame. */
  record Command(String name, byte[] data) implements ZmtpPart {}

  /** A message of one frame or more. */
  record Message(List<byte[]> frames) implements ZmtpPart {}
}

package stonespring.zmtp;

/** Bits of the flags byte that starts each frame (RFC 37, "Formal Grammar"). */
final class FrameFlags {
  /** More frames of the same message follow. */
  static final int MORE = 1;

  /** The frame size is encoded in eight bytes instead of one. */
  static final int LONG = 2;

  /** The frame is a command, not part of a message. */
  static final int COMMAND = 4;

  private static final int ALL = MORE | LONG | COMMAND;

  private FrameFlags() {}

  static boolean has(int flags, int flag) {
    return (flags & flag) != 0;
  }

  /** Returns whether no unknown bit is set and the combination of flags is allowed. */
  static boolean areValid(int flags) {
    return flags <= ALL && !(has(flags, COMMAND) && has(flags, MORE));
  }
}

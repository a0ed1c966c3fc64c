package stonespring.zmtp;

/** The first byte of a frame (RFC 37, "Formal Grammar"). */
final class FrameFlags {
  /** Further frames of the message follow. */
  static final int MORE = 1;

  /** The size takes eight bytes in place of one. */
  static final int LONG = 2;

  /** The frame is a command. */
  static final int COMMAND = 4;

  private static final int ALL = MORE | LONG | COMMAND;

  private FrameFlags() {}

  static boolean has(int flags, int flag) {
    return (flags & flag) != 0;
  }

  /** Whether the flags may stand together. */
  static boolean areValid(int flags) {
    return flags <= ALL && !(has(flags, COMMAND) && has(flags, MORE));
  }
}

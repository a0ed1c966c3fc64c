package stonespring.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the number of file descriptors that the operating system grants this process. */
final class DescriptorLimit {
  private static final Path LIMITS_FILE = Path.of("/proc/self/limits");

  /** The soft limit is the first column after the name; "unlimited" does not match. */
  private static final Pattern SOFT_LIMIT = Pattern.compile("Max open files +(\\d{1,9}) .*");

  private DescriptorLimit() {}

  /** Returns the limit; empty if the process has none or the system does not state it. */
  static OptionalInt ofThisProcess() {
    try {
      return parse(Files.readAllLines(LIMITS_FILE));
    } catch (IOException e) {
      return OptionalInt.empty(); // not Linux: the configured limit alone applies
    }
  }

  static OptionalInt parse(List<String> limits) {
    for (String line : limits) {
      Matcher matcher = SOFT_LIMIT.matcher(line);
      if (matcher.matches()) {
        return OptionalInt.of(Integer.parseInt(matcher.group(1)));
      }
    }
    return OptionalInt.empty();
  }
}

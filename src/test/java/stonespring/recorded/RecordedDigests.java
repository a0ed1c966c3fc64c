package stonespring.recorded;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Digests of recorded output, held against a resource: one line for each recording, its name, how
 * many pieces it had, and the SHA-256 of all their bytes. Where they differ, what was found is left
 * in {@code target/} under the resource's name.
 */
public final class RecordedDigests {
  private final StringBuilder actual = new StringBuilder();

  /** One recording's running digest. */
  public static final class Recording {
    private final MessageDigest digest;
    private int chunkCount;

    /** Starts with nothing recorded. */
    public Recording() {
      try {
        this.digest = MessageDigest.getInstance("SHA-256");
      } catch (NoSuchAlgorithmException e) {
        throw new AssertionError(e);
      }
    }

    public void add(byte[] bytes) {
      digest.update(bytes);
      chunkCount++;
    }

    public void add(String text) {
      add(text.getBytes(StandardCharsets.UTF_8));
    }
  }

  /** Ends a recording. */
  public void put(String name, Recording recording) {
    actual
        .append(name)
        .append(' ')
        .append(recording.chunkCount)
        .append(' ')
        .append(HexFormat.of().formatHex(recording.digest.digest()))
        .append('\n');
  }

  /** Compares all recordings with those that the resource holds. */
  public void check(String resource) throws IOException {
    Path actualFile = Path.of("target", resource);
    Files.createDirectories(actualFile.getParent());
    Files.writeString(actualFile, actual.toString());
    try (InputStream in = RecordedDigests.class.getResourceAsStream("/recorded/" + resource)) {
      assertNotNull(in, "no resource /recorded/" + resource);
      assertEquals(
          new String(in.readAllBytes(), StandardCharsets.UTF_8),
          actual.toString(),
          "what is recorded has changed");
    }
  }
}

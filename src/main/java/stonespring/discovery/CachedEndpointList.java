package stonespring.discovery;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.model.EndpointRecord;

/**
 * A copy of the last known endpoint list on disk, which the instance reads at its next start. A new
 * list is written to a temporary file in the same directory, which then replaces the old file
 * atomically, so that a crash leaves either the old list or the new one. Thread-safe.
 */
public final class CachedEndpointList {
  private static final Logger LOG = LoggerFactory.getLogger(CachedEndpointList.class);
  private static final long STOP_TIMEOUT_SECONDS = 1;

  private final Optional<Path> file;
  private final EndpointListCodec codec;

  /** The next list to write; null if no write is pending. */
  private final AtomicReference<List<EndpointRecord>> pending = new AtomicReference<>();

  private final ExecutorService writer =
      Executors.newSingleThreadExecutor(CachedEndpointList::writerThread);

  /**
   * Creates a cache without reading the file.
   *
   * @param file the cache file; if empty, nothing is stored and every read returns an empty list
   */
  public CachedEndpointList(Optional<Path> file, EndpointListCodec codec) {
    this.file = file;
    this.codec = codec;
  }

  private static Thread writerThread(Runnable work) {
    Thread thread = new Thread(work, "endpoint-list-cache");
    thread.setDaemon(true);
    return thread;
  }

  /**
   * Reads the stored list. Returns an empty list if there is no file, and also, after logging a
   * warning, if the file can't be read or holds no valid list.
   */
  public List<EndpointRecord> read() {
    if (file.isEmpty() || !Files.exists(file.get())) {
      return List.of();
    }
    try {
      return codec.read(Files.readAllBytes(file.get()));
    } catch (IOException | InvalidEndpointListException e) {
      LOG.warn(
          "cached endpoint list {} can't be used, starting with an empty list: {}",
          file.get(),
          e.getMessage());
      return List.of();
    }
  }

  /**
   * Schedules a list to be written on the writer thread and returns at once. A list that is still
   * waiting to be written is replaced.
   */
  public void store(List<EndpointRecord> endpoints) {
    if (file.isPresent() && pending.getAndSet(endpoints) == null) {
      writer.execute(() -> write(file.get(), pending.getAndSet(null)));
    }
  }

  /** Stops the writer thread after a pending write; waits up to one second for it. */
  public void stop() throws InterruptedException {
    writer.shutdown();
    writer.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private void write(Path path, List<EndpointRecord> endpoints) {
    Path temporary = path.resolveSibling(path.getFileName() + ".new");
    try {
      writeAndSync(temporary, ByteBuffer.wrap(codec.write(endpoints)));
      Files.move(
          temporary, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      // A full disk must not stop the instance: it continues with the list in memory.
      LOG.warn(
          "cached endpoint list {} could not be written, the next start may read an older list: {}",
          path,
          e.getMessage());
    }
  }

  private static void writeAndSync(Path path, ByteBuffer bytes) throws IOException {
    try (FileChannel out =
        FileChannel.open(
            path,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      while (bytes.hasRemaining()) {
        out.write(bytes);
      }
      out.force(true);
    }
  }
}

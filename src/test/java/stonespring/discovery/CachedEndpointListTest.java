package stonespring.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static stonespring.discovery.EndpointLists.endpoint;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonespring.model.EndpointRecord;

final class CachedEndpointListTest {
  @Test
  void readsStoredListAndReturnsEmptyListWhenFileIsInvalid(@TempDir Path folder) throws Exception {
    Path file = folder.resolve("list.json");
    CachedEndpointList cache = new CachedEndpointList(Optional.of(file), EndpointLists.codec());
    List<EndpointRecord> list =
        List.of(
            endpoint("a", 3, EndpointRecord.State.DRAINING),
            endpoint("b", 1, EndpointRecord.State.READY));
    cache.store(list);
    cache.stop();
    assertEquals(list, new CachedEndpointList(Optional.of(file), EndpointLists.codec()).read());
    Files.writeString(file, "[{");
    assertEquals(
        List.of(), new CachedEndpointList(Optional.of(file), EndpointLists.codec()).read());
  }
}

package stonespring.proxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Map;
import org.junit.jupiter.api.Test;

final class TableSubscriberTest {
  private final TableSubscriber subscriber = new TableSubscriber();

  private static TableSubscriber.Commit commit(String stream, int sequence, int keys) {
    return new TableSubscriber.Commit(stream, sequence, keys, 9);
  }

  @Test
  void appliesUpdateOnlyWhenAllItsKeysArrived() {
    assertInstanceOf(
        TableSubscriber.Result.NothingToApply.class,
        subscriber.handleKeyChange("line/1/x", "1", null));
    TableSubscriber.Result.Update first =
        (TableSubscriber.Result.Update)
            subscriber.handleKeyChange("commit", "{}", commit("a", 1, 1));
    assertEquals(Map.of("line/1/x", "1"), first.changes());
    assertEquals(9, first.ackId());
    subscriber.handleKeyChange("line/1/y", "1", null);
    assertInstanceOf(
        TableSubscriber.Result.Resync.class,
        subscriber.handleKeyChange("commit", "{}", commit("a", 2, 2)),
        "an update with a missing key requires the snapshot");
  }

  @Test
  void requestsSnapshotWhenUpdateIsOutOfSequence() {
    subscriber.handleKeyChange("commit", "{}", commit("a", 1, 0));
    assertInstanceOf(
        TableSubscriber.Result.Resync.class,
        subscriber.handleKeyChange("commit", "{}", commit("a", 3, 0)));
    assertInstanceOf(
        TableSubscriber.Result.Resync.class,
        subscriber.handleKeyChange("commit", "{}", commit("b", 2, 0)),
        "another stream must begin with its first update");
    TableSubscriber.Result.Update snapshot =
        (TableSubscriber.Result.Update)
            subscriber.handleSnapshot(Map.of("commit", "{}", "out/x", "1"), commit("b", 2, 1));
    assertEquals(Map.of("out/x", "1"), snapshot.changes());
    assertEquals(true, snapshot.fullState());
    assertInstanceOf(
        TableSubscriber.Result.Update.class,
        subscriber.handleKeyChange("commit", "{}", commit("b", 3, 0)));
  }

  @Test
  void ignoresSnapshotWithoutNewUpdates() {
    subscriber.handleKeyChange("commit", "{}", commit("a", 1, 0));
    assertInstanceOf(
        TableSubscriber.Result.NothingToApply.class,
        subscriber.handleSnapshot(Map.of("commit", "{}"), commit("a", 1, 0)));
    assertInstanceOf(
        TableSubscriber.Result.NothingToApply.class, subscriber.handleSnapshot(Map.of(), null));
    assertInstanceOf(
        TableSubscriber.Result.StreamEnded.class, subscriber.handleKeyChange("commit", null, null));
    assertInstanceOf(
        TableSubscriber.Result.Update.class,
        subscriber.handleKeyChange("commit", "{}", commit("c", 1, 0)));
  }
}

package stonespring.proxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Map;
import org.junit.jupiter.api.Test;

final class TableSubscriberTest {
  private final TableSubscriber follower = new TableSubscriber();

  private static TableSubscriber.Commit commit(String origin, int at, int keys) {
    return new TableSubscriber.Commit(origin, at, keys, 9);
  }

  @Test
  void aMessageTakesEffectWholeOrNotAtAll() {
    assertInstanceOf(TableSubscriber.Step.Gathered.class, follower.update("line/1/x", "1", null));
    TableSubscriber.Step.Message first =
        (TableSubscriber.Step.Message) follower.update("commit", "{}", commit("a", 1, 1));
    assertEquals(Map.of("line/1/x", "1"), first.changes());
    assertEquals(9, first.mark());
    follower.update("line/1/y", "1", null);
    assertInstanceOf(
        TableSubscriber.Step.Resync.class,
        follower.update("commit", "{}", commit("a", 2, 2)),
        "a key is missing");
  }

  @Test
  void aMessageOutOfCountAsksForTheSnapshot() {
    follower.update("commit", "{}", commit("a", 1, 0));
    assertInstanceOf(
        TableSubscriber.Step.Resync.class, follower.update("commit", "{}", commit("a", 3, 0)));
    assertInstanceOf(
        TableSubscriber.Step.Resync.class,
        follower.update("commit", "{}", commit("b", 2, 0)),
        "another stream that does not begin with its first message");
    TableSubscriber.Step.Message whole =
        (TableSubscriber.Step.Message)
            follower.snapshot(Map.of("commit", "{}", "out/x", "1"), commit("b", 2, 1));
    assertEquals(Map.of("out/x", "1"), whole.changes());
    assertEquals(true, whole.whole());
    assertInstanceOf(
        TableSubscriber.Step.Message.class, follower.update("commit", "{}", commit("b", 3, 0)));
  }

  @Test
  void aSnapshotThatTellsNothingNewOrNothingAtAllChangesNothing() {
    follower.update("commit", "{}", commit("a", 1, 0));
    assertInstanceOf(
        TableSubscriber.Step.Gathered.class,
        follower.snapshot(Map.of("commit", "{}"), commit("a", 1, 0)));
    assertInstanceOf(TableSubscriber.Step.Gathered.class, follower.snapshot(Map.of(), null));
    assertInstanceOf(TableSubscriber.Step.Ended.class, follower.update("commit", null, null));
    assertInstanceOf(
        TableSubscriber.Step.Message.class, follower.update("commit", "{}", commit("c", 1, 0)));
  }
}

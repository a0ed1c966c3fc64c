package stonespring.proxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Map;
import org.junit.jupiter.api.Test;

final class FollowerTest {
  private final Follower follower = new Follower();

  private static Follower.Commit commit(String origin, int at, int keys) {
    return new Follower.Commit(origin, at, keys, 9);
  }

  @Test
  void aMessageTakesEffectWholeOrNotAtAll() {
    assertInstanceOf(Follower.Step.Gathered.class, follower.update("line/1/x", "1", null));
    Follower.Step.Message first =
        (Follower.Step.Message) follower.update("commit", "{}", commit("a", 1, 1));
    assertEquals(Map.of("line/1/x", "1"), first.changes());
    assertEquals(9, first.mark());
    follower.update("line/1/y", "1", null);
    assertInstanceOf(
        Follower.Step.Resync.class,
        follower.update("commit", "{}", commit("a", 2, 2)),
        "a key is missing");
  }

  @Test
  void aMessageOutOfCountAsksForTheSnapshot() {
    follower.update("commit", "{}", commit("a", 1, 0));
    assertInstanceOf(
        Follower.Step.Resync.class, follower.update("commit", "{}", commit("a", 3, 0)));
    assertInstanceOf(
        Follower.Step.Resync.class,
        follower.update("commit", "{}", commit("b", 2, 0)),
        "another stream that does not begin with its first message");
    Follower.Step.Message whole =
        (Follower.Step.Message)
            follower.snapshot(Map.of("commit", "{}", "out/x", "1"), commit("b", 2, 1));
    assertEquals(Map.of("out/x", "1"), whole.changes());
    assertEquals(true, whole.whole());
    assertInstanceOf(
        Follower.Step.Message.class, follower.update("commit", "{}", commit("b", 3, 0)));
  }

  @Test
  void aSnapshotThatTellsNothingNewOrNothingAtAllChangesNothing() {
    follower.update("commit", "{}", commit("a", 1, 0));
    assertInstanceOf(
        Follower.Step.Gathered.class, follower.snapshot(Map.of("commit", "{}"), commit("a", 1, 0)));
    assertInstanceOf(Follower.Step.Gathered.class, follower.snapshot(Map.of(), null));
    assertInstanceOf(Follower.Step.Ended.class, follower.update("commit", null, null));
    assertInstanceOf(
        Follower.Step.Message.class, follower.update("commit", "{}", commit("c", 1, 0)));
  }
}

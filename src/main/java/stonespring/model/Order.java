package stonespring.model;

/** What an assigner wants done, in the order given. */
public sealed interface Order {
  /** The table that stands for every joined proxy; only {@link Admit} takes it. */
  TableId EVERY_TABLE = new TableId(65535);

  record SetTimer(long delay, TimerToken token) implements Order {}

  record FetchList() implements Order {}

  record FollowList(boolean on) implements Order {}

  record SetLine(TableId table, TaskId task, double weight) implements Order {}

  record ClearTable(TableId table) implements Order {}

  record Bind(TableId table, ProxyId proxy, int opTypeBits) implements Order {}

  record Withdraw(TaskId task, boolean out) implements Order {}

  record Admit(TableId table, int opTypeBits, Retry retry, double level) implements Order {}

  record Mark(MarkId mark, boolean everyProxy) implements Order {}

  record Probe(TaskId task) implements Order {}

  record TellPeer(PeerId peer, byte[] bytes) implements Order {}

  record LogLine(String text) implements Order {}

  /** When a proxy tries an op again at another task. */
  enum Retry {
    NEVER,
    ON_PROOF,
    ONCE_ON_FAILURE,
    TWICE_ON_FAILURE
  }
}

package stonespring.model;

import java.util.List;

/** What an assigner is told. Spans and durations are in tenths of a millisecond. */
public sealed interface Event {
  /** How a list event relates to the list that the assigner holds. */
  enum ListKind {
    CHANGES,
    WHOLE,
    LAST_SEEN,
    FAILED
  }

  /** What concerns one joined proxy. */
  sealed interface OfProxy extends Event {
    ProxyId proxy();
  }

  record ListTold(ListKind kind, List<Listing> entries) implements Event {}

  record PeerSaid(PeerId from, byte[] bytes) implements Event {}

  record ProxyJoined(ProxyId proxy, ZoneId zone, double opsPerSecond, boolean fresh)
      implements OfProxy {}

  record ProxyLeft(ProxyId proxy) implements OfProxy {}

  record ProxyOps(ProxyId proxy, OpTypeId opType, long ops, long unanswered, long span)
      implements OfProxy {}

  record SliceOps(TableId slice, OpTypeId opType, long ops, long unanswered, long span)
      implements Event {}

  record SliceGiven(TableId slice, boolean inCharge) implements Event {}

  record SliceLine(TableId slice, TaskId task, double weight) implements Event {}

  record TaskSums(
      TaskId task,
      ZoneId from,
      long tries,
      long bad,
      long span,
      long goodLatency,
      LoadReport report)
      implements Event {}

  record Probed(TaskId task, boolean good, long took, LoadReport report) implements Event {}

  record Answered(ProxyId proxy, MarkId mark, long took) implements OfProxy {}

  /**
   * What the weight solver would have a proxy's table be: shares of its ops that sum to 1. Advice,
   * no order.
   */
  record Proposed(ProxyId proxy, List<Share> lines) implements OfProxy {
    /** One line of it. */
    public record Share(TaskId task, double weight) {}
  }

  record TimerDue(TimerToken token) implements Event {}
}

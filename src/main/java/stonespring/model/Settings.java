package stonespring.model;

import java.util.List;

/**
 * What an assigner is told at its start and reads; times in tenths of a millisecond.
 *
 * @param holdingsUnknown proxies don't say what the tables hold that they bring along: a withdrawal
 *     is then a line at each of them, and what a first table names must be let back, a line each,
 *     as others may have withdrawn it
 */
public record Settings(
    int assigners,
    int zones,
    List<OpType> opTypes,
    boolean listOnRequest,
    LevelKind levelKind,
    int backlogLines,
    int messageHead,
    int messagesMost,
    long messagesOver,
    double linesPerSecond,
    long emptyLimit,
    int standingLines,
    int proxies,
    long sumsEvery,
    boolean slices,
    double crossZonePrice,
    long coldTime,
    double coldShare,
    double fallMultiple,
    double worstTypeWeight,
    boolean droppedStayOpen,
    int shunAfter,
    boolean holdingsUnknown) {
  /** Where proxies, or those who count lines, know what tables hold. */
  public Settings(
      int assigners,
      int zones,
      List<OpType> opTypes,
      boolean listOnRequest,
      LevelKind levelKind,
      int backlogLines,
      int messageHead,
      int messagesMost,
      long messagesOver,
      double linesPerSecond,
      long emptyLimit,
      int standingLines,
      int proxies,
      long sumsEvery,
      boolean slices,
      double crossZonePrice,
      long coldTime,
      double coldShare,
      double fallMultiple,
      double worstTypeWeight,
      boolean droppedStayOpen,
      int shunAfter) {
    this(
        assigners,
        zones,
        opTypes,
        listOnRequest,
        levelKind,
        backlogLines,
        messageHead,
        messagesMost,
        messagesOver,
        linesPerSecond,
        emptyLimit,
        standingLines,
        proxies,
        sumsEvery,
        slices,
        crossZonePrice,
        coldTime,
        coldShare,
        fallMultiple,
        worstTypeWeight,
        droppedStayOpen,
        shunAfter,
        false);
  }

  /**
   * Part of its capacity that a task surely has now: it rises from the cold share, evenly at worst;
   * 1 if started long ago.
   */
  public double warmth(long startedAt, long now) {
    if (startedAt <= 0) {
      return 1;
    }
    double age = (double) Math.max(0, now - startedAt) / Math.max(1, coldTime);
    return Math.min(1, coldShare + (1 - coldShare) * age);
  }

  /**
   * The same on the platform's sockets: the list comes only to those who ask, and proxies don't say
   * what they hold.
   */
  public Settings onSockets() {
    return new Settings(
        assigners,
        zones,
        opTypes,
        true,
        levelKind,
        backlogLines,
        messageHead,
        messagesMost,
        messagesOver,
        linesPerSecond,
        emptyLimit,
        standingLines,
        proxies,
        sumsEvery,
        slices,
        crossZonePrice,
        coldTime,
        coldShare,
        fallMultiple,
        worstTypeWeight,
        droppedStayOpen,
        shunAfter,
        true);
  }

  /** How a level is meant. */
  public enum LevelKind {
    NONE,
    SHARE,
    RATE
  }
}

package stonespring.model;

import java.util.List;

/** What an assigner is told at its start and reads; times in tenths of a millisecond. */
public record Settings(int assigners, int zones, List<OpType> opTypes, boolean listOnRequest, LevelKind levelKind,
                       int backlogLines, int messageHead, int messagesMost, long messagesOver,
                       double linesPerSecond, long emptyLimit, int standingLines, int proxies, long sumsEvery,
                       boolean slices, double crossZonePrice, long coldTime, double coldShare,
                       double fallMultiple, double worstTypeWeight, boolean droppedStayOpen,
                       int shunAfter) {
    /** How a level is meant. */
    public enum LevelKind { NONE, SHARE, RATE }
}

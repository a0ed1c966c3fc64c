package stonespring.model;

/** What an assigner gives a timer to know it again. */
public record TimerToken(long value) {}

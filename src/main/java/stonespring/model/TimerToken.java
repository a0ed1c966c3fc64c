package stonespring.model;

/** Identifies a timer; the engine that starts the timer chooses the value. */
public record TimerToken(long value) {}

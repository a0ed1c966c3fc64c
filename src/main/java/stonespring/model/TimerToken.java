package stonespring.model;

/** Tells one timer from another; chosen by who starts it. */
public record TimerToken(long value) {}

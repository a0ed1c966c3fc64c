package stonespring.model;

/** Another instance's number; -1 stands for every peer. */
public record PeerId(int number) {}

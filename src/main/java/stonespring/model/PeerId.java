package stonespring.model;

/** Another assigner's number; -1 stands for every peer. */
public record PeerId(int number) {}

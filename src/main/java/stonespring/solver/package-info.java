/**
 * Decides which weights proxies should have over small subsets of tasks. No clock, thread or chance
 * but CRC32: the same input gives the same plan. What it finds is a proposal; the decision module
 * has the last word on every line.
 */
package stonespring.solver;

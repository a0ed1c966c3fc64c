/**
 * The fleet in virtual time: a recorded load played through the real instance and the real routing,
 * tasks simulated.
 */
package stonespring.testbed.virtual;

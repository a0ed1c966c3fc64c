/**
 * The test bed: runs scripted scenarios on loopback sockets. Real instances run in separate
 * processes; endpoints, clients and the registry are simulated by stand-ins; the script injects
 * faults into links and processes; and an invariant checker evaluates the traffic observed at the
 * sockets. The package also holds the measurements behind the {@code measure} command. Of the
 * product, only the command line depends on this package.
 */
package stonespring.testbed;

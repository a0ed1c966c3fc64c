/**
 * The test bed: runs scripted scenarios on loopback sockets. Real instances run in processes of
 * their own; endpoints, clients and the registry are stand-ins, links and processes are made to
 * fail by the script, and an invariant checker judges what crossed the sockets. Also holds the
 * measurements behind the {@code measure} command. Nothing of the product depends on this package
 * except the command line.
 */
package stonespring.testbed;

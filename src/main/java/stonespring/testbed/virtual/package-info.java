/**
 * Recorded loads in virtual time. A load is played through the real engine host and the real
 * routing of the proxies; endpoints, clients and the network between them are simulated. One thread
 * drives each fleet, and equal input gives equal results.
 */
package stonespring.testbed.virtual;

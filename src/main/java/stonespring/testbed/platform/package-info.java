/**
 * A soak test of an instance on the operators' platform: it starts the instance as the deployment
 * does, plays proxies, collectors, the discovery server and signals from a seed, and checks what
 * crossed the sockets. It shares no code with the instance.
 */
package stonespring.testbed.platform;

/**
 * Types that the protocol implementations on Netty share: a decoder that stops at the first
 * protocol violation, the exception that signals the violation, and the control of accepting.
 */
package stonespring.netty;

/**
 * Types that the protocol implementations on Netty share: a decoder that stops at the first
 * protocol violation, and the exception that signals the violation.
 */
package stonespring.netty;

/** What the project's protocols on Netty share: decoders that stop at the first violation. */
package stonespring.netty;

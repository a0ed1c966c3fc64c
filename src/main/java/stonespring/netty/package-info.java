/** Types shared by the project's protocols on Netty: decoders that stop at the first violation. */
package stonespring.netty;

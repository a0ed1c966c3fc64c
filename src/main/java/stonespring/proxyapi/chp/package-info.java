/**
 * The Clustered Hashmap Protocol towards proxies: published keys and snapshots out, presence,
 * reports and acknowledgements in. {@code docs/channel.md} describes the keys.
 */
package stonespring.proxyapi.chp;

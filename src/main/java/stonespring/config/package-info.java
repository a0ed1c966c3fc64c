/**
 * Settings of an instance, decoded from a settings script ({@link
 * stonespring.config.InstanceSettings}) or from the platform's JSON ({@link
 * stonespring.config.PlatformConfig}), validated when they are read and immutable afterwards.
 */
package stonespring.config;

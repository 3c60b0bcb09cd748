package io.stackhall.core.config;

/**
 * Limits of the store from which model weights are loaded.
 *
 * @param loadsPerSecond number of loads that may start per second, over all zones
 * @param parallelLoads number of concurrent loads that the store serves at full speed, over all
 *     zones
 */
public record WeightStoreSpec(double loadsPerSecond, int parallelLoads) {}

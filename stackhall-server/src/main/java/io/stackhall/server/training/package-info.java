/**
 * A short run of both roles in one process, by which a build learns which classes a start loads.
 */
package io.stackhall.server.training;

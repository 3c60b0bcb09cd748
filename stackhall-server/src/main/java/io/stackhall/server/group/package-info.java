/** Runs the replicas of this host and carries commands to the leaders of groups. */
package io.stackhall.server.group;

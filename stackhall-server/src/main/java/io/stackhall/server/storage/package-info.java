/** What lasts: the data folder, its lock, and the logs and snapshots of replicas. */
package io.stackhall.server.storage;

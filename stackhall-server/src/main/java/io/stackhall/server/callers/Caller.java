package io.stackhall.server.callers;

import io.stackhall.core.config.Priority;
import io.stackhall.core.id.CustomerId;

/**
 * Who asks, and how urgent it is.
 *
 * @param id the caller
 * @param priority the priority of the request
 */
record Caller(CustomerId id, Priority priority) {}

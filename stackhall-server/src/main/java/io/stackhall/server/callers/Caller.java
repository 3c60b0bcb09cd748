package io.stackhall.server.callers;

import io.stackhall.core.config.Priority;
import io.stackhall.core.id.CustomerId;

/**
 * The customer that sent a request, and the priority of the request.
 *
 * @param id the customer
 * @param priority the priority of the request
 */
record Caller(CustomerId id, Priority priority) {}

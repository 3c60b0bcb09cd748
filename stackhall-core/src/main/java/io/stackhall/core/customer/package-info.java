/**
 * Customers, identified by their keys, and their rate limits over all hosts. Nothing here does I/O.
 */
package io.stackhall.core.customer;

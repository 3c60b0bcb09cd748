/**
 * Selects the instance for each request, and decides whether a request is sent, waits or is
 * refused.
 */
package io.stackhall.core.dispatch;

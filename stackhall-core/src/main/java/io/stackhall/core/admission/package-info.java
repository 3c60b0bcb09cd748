/** Admission and scheduling of requests: queues, limits, refusals and retries. */
package io.stackhall.core.admission;

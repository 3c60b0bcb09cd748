/** Outcomes of requests, claims for at-most-once execution, and accepted deferred work. */
package io.stackhall.core.outcome;

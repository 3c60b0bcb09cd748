/** Requests that crash the instances which run them: how they are known again, and kept apart. */
package io.stackhall.core.quarantine;

/** Recognizes requests that crash the instances running them, and isolates or refuses them. */
package io.stackhall.core.quarantine;

/**
 * Recognizes requests, and parts of prompts, that crash instances, and isolates or refuses them.
 */
package io.stackhall.core.quarantine;

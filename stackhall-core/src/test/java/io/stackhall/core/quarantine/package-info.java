/** Tests of how crashing requests are recognized and isolated. */
package io.stackhall.core.quarantine;

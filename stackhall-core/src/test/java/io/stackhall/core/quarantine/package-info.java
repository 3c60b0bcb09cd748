/** Tests of how requests that end instances are known and kept apart. */
package io.stackhall.core.quarantine;

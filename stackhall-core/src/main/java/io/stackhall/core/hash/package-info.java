/** Cryptographic hashes that every Java runtime has. */
package io.stackhall.core.hash;

/** Tests of the core as a whole. */
package io.stackhall.core;

/** Tests of the table of upstream instances. */
package io.stackhall.core.fleet;

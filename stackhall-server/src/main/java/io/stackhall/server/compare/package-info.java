/** Compares placement policies by what hosts have counted, and shows it on a page. */
package io.stackhall.server.compare;

/** Tests of routes. */
package io.stackhall.core.route;

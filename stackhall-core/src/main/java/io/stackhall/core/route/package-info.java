/** Routes and services: which service a request goes to, and under which limits. */
package io.stackhall.core.route;

/**
 * Which service a caller's request goes to, and what the operator allows it: routes and services.
 */
package io.stackhall.core.route;

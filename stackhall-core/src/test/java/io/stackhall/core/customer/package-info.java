/**
 * Tests of customers' keys and limits, and the replay in which ways to keep limits are compared.
 */
package io.stackhall.core.customer;

/** Tests of customers' keys and limits, and a simulation that compares ways to enforce limits. */
package io.stackhall.core.customer;

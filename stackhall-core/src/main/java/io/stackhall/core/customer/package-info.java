/**
 * Who may send requests and how much: customers by their keys, the limits of each, and how all
 * hosts together keep to them. Nothing here does I/O.
 */
package io.stackhall.core.customer;

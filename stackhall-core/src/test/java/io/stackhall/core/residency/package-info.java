/** Tests of orders to engines. */
package io.stackhall.core.residency;

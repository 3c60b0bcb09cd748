/**
 * Which models and adapters engines are ordered to hold, where the engines count their orders: one
 * order at a time for each, none of which can be carried out twice or after a newer one.
 */
package io.stackhall.core.residency;

/**
 * Model and adapter residency on engines that count their orders. Each engine has at most one
 * outstanding order, and no order can be carried out twice or after a newer one.
 */
package io.stackhall.core.residency;

/** Tests of placement. */
package io.stackhall.core.placement;

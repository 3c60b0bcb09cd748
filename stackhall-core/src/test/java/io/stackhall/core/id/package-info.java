/** Tests of the ids. */
package io.stackhall.core.id;

/** Tests of where streams began, and whether they go on. */
package io.stackhall.core.stream;

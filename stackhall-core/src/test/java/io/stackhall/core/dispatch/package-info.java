/** Tests of the choice of instances. */
package io.stackhall.core.dispatch;

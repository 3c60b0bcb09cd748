/** Tests of instance selection, admission and retries. */
package io.stackhall.core.dispatch;

/** Which instance a request is sent to, whether it waits, and when it is refused. */
package io.stackhall.core.dispatch;

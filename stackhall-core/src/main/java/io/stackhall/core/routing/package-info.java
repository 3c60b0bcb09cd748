/** Which upstream a request goes to: residency, prefix affinity, load, ejection and slow start. */
package io.stackhall.core.routing;

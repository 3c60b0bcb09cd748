/** Tests of how the host's own delay is measured and which requests are refused for it. */
package io.stackhall.core.overload;

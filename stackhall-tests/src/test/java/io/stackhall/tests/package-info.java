/** Tests of the whole system: real processes, a fault-injecting proxy, golden sessions. */
package io.stackhall.tests;

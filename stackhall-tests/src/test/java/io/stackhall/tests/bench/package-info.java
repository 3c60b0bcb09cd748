/** Measurements of the whole system; they run only when asked for, by bin/bench. */
package io.stackhall.tests.bench;

/** What the tests of the whole system share: processes, the proxy, clients. */
package io.stackhall.tests.harness;

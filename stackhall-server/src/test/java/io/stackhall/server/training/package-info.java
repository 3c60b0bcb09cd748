/** Tests of the training run and the warm-up. */
package io.stackhall.server.training;

/** Tests of model and adapter residency. */
package io.stackhall.core.residency;

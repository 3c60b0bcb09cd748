/** The deployment that operators define, its validation, and the register that orders changes. */
package io.stackhall.core.config;

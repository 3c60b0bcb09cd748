/** Tests of when answers are whole, and of what is held of them. */
package io.stackhall.core.answer;

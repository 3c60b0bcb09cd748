/** When the answer of an upstream is whole. */
package io.stackhall.core.answer;

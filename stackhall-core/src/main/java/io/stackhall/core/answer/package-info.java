/** Which request an answer of an upstream belongs to, and when the answer is whole. */
package io.stackhall.core.answer;

/** Placement policies: which model to load or evict, decided from a view of a zone. */
package io.stackhall.core.policy;

package io.stackhall.core.residency;

import io.stackhall.core.id.ModelId;

/**
 * Identifies an adapter of a model.
 *
 * @param model the base model
 * @param adapter the adapter name, unique within the model
 */
record AdapterKey(ModelId model, String adapter) {}

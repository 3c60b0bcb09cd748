package io.stackhall.core.residency;

import io.stackhall.core.id.ModelId;

/**
 * Names an adapter.
 *
 * @param model the model that it belongs to
 * @param adapter its name among those of the model
 */
record AdapterKey(ModelId model, String adapter) {}

package io.stackhall.core.dispatch;

/**
 * A part of a prompt that other prompts may share.
 *
 * @param id identifies the text of the part
 * @param tokens its length in tokens
 */
public record PromptPart(String id, int tokens) {}

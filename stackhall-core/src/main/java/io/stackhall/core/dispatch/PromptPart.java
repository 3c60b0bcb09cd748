package io.stackhall.core.dispatch;

/**
 * One part of a prompt that other prompts may share.
 *
 * @param id names its text
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {}

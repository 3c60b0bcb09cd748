package io.stackhall.server.standin;

/** The text that a stand-in generates: the same for the same model, in the OpenAI API's shape. */
final class StandInText {

    /** The end marker of a stream. */
    static final String END = "data: [DONE]\n\n";

    private StandInText() {}

    static String word(String model, int at) {
        return model + "-" + at + " ";
    }

    static String event(String model, int at) {
        return "data: {\"id\":\"stand-in\",\"object\":\"chat.completion.chunk\",\"created\":0,"
                + "\"model\":\""
                + model
                + "\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
                + word(model, at)
                + "\"},\"finish_reason\":null}]}\n\n";
    }

    static String whole(String model, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int at = 0; at < tokens; at++) {
            text.append(word(model, at));
        }
        return "{\"id\":\"stand-in\",\"object\":\"chat.completion\",\"created\":0,\"model\":\""
                + model
                + "\",\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\","
                + "\"content\":\""
                + text
                + "\"},\"finish_reason\":\"stop\"}],"
                + "\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":"
                + tokens
                + ",\"total_tokens\":"
                + (tokens + 1)
                + "}}";
    }
}

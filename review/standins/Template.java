import java.util.List;
import java.util.Map;

/** Fills a settings template with fields, as the page about deployment tells. */
final class Template {

    private final String text;

    private Template(String text) {
        this.text = text;
    }

    static String fill(String text, Map<String, Object> fields) {
        return new Template(text).section(0, text.length(), fields, fields, "", false);
    }

    private String section(
            int from, int to, Object entry, Map<String, Object> all, String key, boolean more) {
        StringBuilder out = new StringBuilder();
        int at = from;
        while (at < to) {
            int open = text.indexOf("{{", at);
            if (open < 0 || open >= to) {
                out.append(text, at, to);
                break;
            }
            out.append(text, at, open);
            int close = text.indexOf("}}", open);
            String gap = text.substring(open + 2, close).strip();
            at = close + 2;
            char kind = gap.charAt(0);
            if (kind == '#' || kind == '^') {
                String name = gap.substring(1);
                String end = "{{/" + name + "}}";
                int stop = text.indexOf(end, at);
                Object value = find(name, entry, all);
                boolean given = value != null && !Boolean.FALSE.equals(value);
                if (kind == '^' && !given) {
                    out.append(section(at, stop, entry, all, key, more));
                } else if (kind == '#' && value instanceof List<?> list) {
                    for (int i = 0; i < list.size(); i++) {
                        boolean followed = i + 1 < list.size();
                        out.append(section(at, stop, list.get(i), all, "" + i, followed));
                    }
                } else if (kind == '#' && given) {
                    out.append(section(at, stop, value, all, key, more));
                }
                at = stop + end.length();
            } else if (gap.equals(",")) {
                out.append(more ? "," : "");
            } else if (gap.equals("@")) {
                out.append(key);
            } else {
                boolean json = gap.endsWith("|json");
                String name = json ? gap.substring(0, gap.length() - 5) : gap;
                Object value = find(name, entry, all);
                out.append(json ? json(value) : value == null ? "" : String.valueOf(value));
            }
        }
        return out.toString();
    }

    private static Object find(String name, Object entry, Map<String, Object> all) {
        if (name.equals(".")) {
            return entry;
        }
        Object inEntry = path(name, entry);
        return inEntry != null ? inEntry : path(name, all);
    }

    private static Object path(String name, Object from) {
        Object at = from;
        for (String part : name.split("\\.")) {
            if (at instanceof Map<?, ?> map) {
                at = map.get(part);
            } else if (at instanceof List<?> list && part.matches("\\d+")) {
                at = Integer.parseInt(part) < list.size() ? list.get(Integer.parseInt(part)) : null;
            } else {
                return null;
            }
        }
        return at;
    }

    private static String json(Object value) {
        return value instanceof String text ? "\"" + text + "\"" : String.valueOf(value);
    }
}

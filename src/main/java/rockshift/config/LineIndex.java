package rockshift.config;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Where fields and blocks stand in a text, by their path: the parser keeps no lines, and takes
 * unclosed braces and missing values without a word. Knows words, strings, comments and brackets,
 * and no more of the language.
 */
final class LineIndex {
    private final Map<String, Integer> byPath = new HashMap<>();
    private final String file;

    LineIndex(String file, String text) throws InvalidFileException {
        this.file = file;
        scan(text);
    }

    /** The line of a path, or that of the nearest block around it; 0 if there is none. */
    int of(String path) {
        for (String at = path;
                !at.isEmpty();
                at = at.contains(".") ? at.substring(0, at.lastIndexOf('.')) : "") {
            if (byPath.containsKey(at)) {
                return byPath.get(at);
            }
        }
        return 0;
    }

    private void scan(String text) throws InvalidFileException {
        ArrayDeque<String> blocks = new ArrayDeque<>();
        ArrayDeque<Integer> opened = new ArrayDeque<>();
        StringBuilder words = new StringBuilder();
        int line = 1;
        int since = 1;
        int brackets = 0;
        boolean valued = false;
        boolean empty = false;
        int next;
        for (int i = 0; i < text.length(); i = next) {
            char c = text.charAt(i);
            next = i + 1;
            boolean comment =
                    c == '#' || c == '/' && i + 1 < text.length() && text.charAt(i + 1) == '/';
            if (comment) {
                next = endOfLine(text, i);
            } else if (c == '"') {
                int end = endOfString(text, i + 1);
                if (end >= text.length() || text.charAt(end) == '\n') {
                    throw new InvalidFileException(file, line, "", "a string that does not end");
                }
                if (!valued) {
                    words.append(words.isEmpty() ? "" : ".").append(text, i + 1, end);
                }
                empty = false;
                next = end + 1;
            } else if (c == '\n') {
                if (valued && empty) {
                    throw new InvalidFileException(
                            file, since, path(blocks, words.toString()), "no value");
                }
                if (brackets == 0) {
                    valued = false;
                    words.setLength(0);
                }
                line++;
            } else if (c == '=' && !valued) {
                valued = true;
                empty = true;
                since = line;
                byPath.put(path(blocks, words.toString()), line);
            } else if (c == '[' || c == ']') {
                brackets += c == '[' ? 1 : -1;
                empty = false;
            } else if (c == '{' && !valued) {
                if (byPath.putIfAbsent(path(blocks, words.toString()), line) != null) {
                    throw new InvalidFileException(
                            file, line, path(blocks, words.toString()), "given twice");
                }
                blocks.addLast(words.toString());
                opened.addLast(line);
                words.setLength(0);
            } else if (c == '}') {
                if (blocks.isEmpty()) {
                    throw new InvalidFileException(file, line, "", "a closing brace too many");
                }
                blocks.removeLast();
                opened.removeLast();
                valued = false;
                words.setLength(0);
            } else if (!Character.isWhitespace(c)) {
                empty = false;
                if (!valued) {
                    boolean separate =
                            !words.isEmpty() && Character.isWhitespace(text.charAt(i - 1));
                    words.append(separate ? "." : "").append(c);
                }
            }
        }
        if (valued && empty) {
            throw new InvalidFileException(file, since, path(blocks, words.toString()), "no value");
        }
        if (!blocks.isEmpty()) {
            throw new InvalidFileException(
                    file, opened.getLast(), String.join(".", blocks), "a block that is not closed");
        }
    }

    /** Where the line ends that goes on here. */
    private static int endOfLine(String text, int from) {
        int end = text.indexOf('\n', from);
        return end < 0 ? text.length() : end;
    }

    /**
     * Where the quote stands that closes a string, or the end of the line or text that cuts it off.
     */
    private static int endOfString(String text, int from) {
        int end = from;
        while (end < text.length() && text.charAt(end) != '"' && text.charAt(end) != '\n') {
            end += text.charAt(end) == '\\' ? 2 : 1;
        }
        return end;
    }

    private static String path(ArrayDeque<String> blocks, String last) {
        return blocks.isEmpty() ? last : String.join(".", blocks) + "." + last;
    }
}

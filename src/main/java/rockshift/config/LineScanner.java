package rockshift.config;

import java.util.ArrayDeque;
import java.util.Map;

/**
 * Records the line of each field and block in a text, and rejects errors that the HCL parser
 * silently accepts: unclosed blocks and strings, and missing values. Also rejects duplicate blocks
 * and unexpected closing braces. It recognizes words, strings, comments and brackets only.
 */
final class LineScanner {
    private final String file;
    private final String text;
    private final Map<String, Integer> lineByPath;

    /** The blocks that enclose the current position, and the lines where they were opened. */
    private final ArrayDeque<String> blocks = new ArrayDeque<>();

    private final ArrayDeque<Integer> blockLines = new ArrayDeque<>();

    /**
     * The name of the current field or block: the words before its value or brace, joined by dots.
     */
    private final StringBuilder name = new StringBuilder();

    private int line = 1;
    private int valueLine = 1;
    private int openBrackets;
    private boolean inValue;
    private boolean valueMissing;

    LineScanner(String file, String text, Map<String, Integer> lineByPath) {
        this.file = file;
        this.text = text;
        this.lineByPath = lineByPath;
    }

    void scan() throws InvalidFileException {
        int position = 0;
        while (position < text.length()) {
            position = scanAt(position);
        }
        requireValue();
        if (!blocks.isEmpty()) {
            throw new InvalidFileException(
                    file,
                    blockLines.getLast(),
                    String.join(".", blocks),
                    "block is not closed, expected '}'");
        }
    }

    /** Scans a token, or one character of a word; returns the position after it. */
    private int scanAt(int position) throws InvalidFileException {
        char next = text.charAt(position);
        if (startsComment(position)) {
            return endOfLine(position);
        } else if (next == '"') {
            return scanString(position);
        } else if (next == '\n') {
            scanNewline();
        } else if (next == '=' && !inValue) {
            beginValue();
        } else if (next == '[' || next == ']') {
            openBrackets += next == '[' ? 1 : -1;
            valueMissing = false;
        } else if (next == '{' && !inValue) {
            openBlock();
        } else if (next == '}') {
            closeBlock();
        } else if (!Character.isWhitespace(next)) {
            scanWordCharacter(position);
        }
        return position + 1;
    }

    private boolean startsComment(int position) {
        return text.charAt(position) == '#' || text.startsWith("//", position);
    }

    private int scanString(int position) throws InvalidFileException {
        int end = endOfString(position + 1);
        if (end >= text.length() || text.charAt(end) == '\n') {
            throw new InvalidFileException(file, line, "", "string is not closed, expected '\"'");
        }
        if (!inValue) {
            name.append(name.isEmpty() ? "" : ".").append(text, position + 1, end);
        }
        valueMissing = false;
        return end + 1;
    }

    private void scanNewline() throws InvalidFileException {
        requireValue();
        if (openBrackets == 0) {
            inValue = false;
            name.setLength(0);
        }
        line++;
    }

    private void beginValue() {
        inValue = true;
        valueMissing = true;
        valueLine = line;
        lineByPath.put(path(), line);
    }

    private void openBlock() throws InvalidFileException {
        Integer firstLine = lineByPath.putIfAbsent(path(), line);
        if (firstLine != null) {
            throw new InvalidFileException(
                    file, line, path(), "already defined on line " + firstLine);
        }
        blocks.addLast(name.toString());
        blockLines.addLast(line);
        name.setLength(0);
    }

    private void closeBlock() throws InvalidFileException {
        if (blocks.isEmpty()) {
            throw new InvalidFileException(file, line, "", "unexpected '}', no block is open");
        }
        blocks.removeLast();
        blockLines.removeLast();
        inValue = false;
        name.setLength(0);
    }

    private void scanWordCharacter(int position) {
        valueMissing = false;
        if (!inValue) {
            boolean startsWord =
                    !name.isEmpty() && Character.isWhitespace(text.charAt(position - 1));
            name.append(startsWord ? "." : "").append(text.charAt(position));
        }
    }

    private void requireValue() throws InvalidFileException {
        if (inValue && valueMissing) {
            throw new InvalidFileException(file, valueLine, path(), "expected a value after '='");
        }
    }

    private int endOfLine(int from) {
        int end = text.indexOf('\n', from);
        return end < 0 ? text.length() : end;
    }

    /** Returns the position of the closing quote, or of the end of the line or text before it. */
    private int endOfString(int from) {
        int end = from;
        while (end < text.length() && text.charAt(end) != '"' && text.charAt(end) != '\n') {
            end += text.charAt(end) == '\\' ? 2 : 1;
        }
        return end;
    }

    private String path() {
        return blocks.isEmpty() ? name.toString() : String.join(".", blocks) + "." + name;
    }
}

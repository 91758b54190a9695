package rockshift.config;

import java.util.HashMap;
import java.util.Map;

/** The line numbers of fields and blocks in a text, by path. The HCL parser does not keep them. */
final class LineIndex {
    private final Map<String, Integer> lineByPath = new HashMap<>();

    LineIndex(String file, String text) throws InvalidFileException {
        new LineScanner(file, text, lineByPath).scan();
    }

    /** Returns the line of a path, or of the nearest enclosing block, or 0 if there is none. */
    int lineOf(String path) {
        String enclosing = path;
        while (!enclosing.isEmpty()) {
            if (lineByPath.containsKey(enclosing)) {
                return lineByPath.get(enclosing);
            }
            int lastDot = Math.max(0, enclosing.lastIndexOf('.'));
            enclosing = enclosing.substring(0, lastDot);
        }
        return 0;
    }
}

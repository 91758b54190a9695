package rockshift.config;

import java.util.HashMap;
import java.util.Map;

/** The lines of fields and blocks in a text, by their path: the HCL parser keeps none. */
final class LineIndex {
    private final Map<String, Integer> lineByPath = new HashMap<>();

    LineIndex(String file, String text) throws InvalidFileException {
        new LineScanner(file, text, lineByPath).scan();
    }

    /** The line of a path, or that of the nearest block around it; 0 if there is none. */
    int of(String path) {
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

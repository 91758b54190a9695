package rockshift.config;

/** Thrown for a file that cannot be used; the message names the file, the line and the field. */
public final class InvalidFileException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception for a problem in a file.
     *
     * @param line the line of the problem; 0 if it concerns the whole file
     * @param field the path of the field; empty if the problem concerns no field
     * @param problem what is wrong
     */
    public InvalidFileException(String file, int line, String field, String problem) {
        super(
                file
                        + (line > 0 ? ", line " + line : "")
                        + (field.isEmpty() ? "" : ", field " + field)
                        + ": "
                        + problem);
    }
}

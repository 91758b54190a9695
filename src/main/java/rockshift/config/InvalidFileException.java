package rockshift.config;

/** A file that can't be used; the message names it, the line and the field. */
public final class InvalidFileException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * A fault at a place of a file.
     *
     * @param line where it is; 0 if it concerns the whole file
     * @param field its path; empty if it concerns no field
     * @param what what is wrong there
     */
    public InvalidFileException(String file, int line, String field, String what) {
        super(
                file
                        + (line > 0 ? ", line " + line : "")
                        + (field.isEmpty() ? "" : ", field " + field)
                        + ": "
                        + what);
    }
}

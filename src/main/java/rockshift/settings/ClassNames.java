package rockshift.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import rockshift.model.ClassSet;

/** Names of the request classes, indexed by class number. Each class has a unique name. */
public final class ClassNames {
    /**
     * Separators of class names, lists and pairs in the proxy protocol; not allowed in a class
     * name.
     */
    private static final String SEPARATORS = "+,:";

    private final List<String> names;
    private final Map<String, Integer> numbers = new HashMap<>();

    /** Thrown if a class name is empty, duplicates another or contains a protocol separator. */
    public static final class InvalidNameException extends InvalidSettingException {
        private static final long serialVersionUID = 1L;
        private final int number;

        InvalidNameException(int number, String reason) {
            super(ClassNames.field(number), reason);
            this.number = number;
        }

        /** Returns the number of the class with the invalid name. */
        public int number() {
            return number;
        }
    }

    private ClassNames(List<String> names) {
        this.names = names;
        for (int number = 0; number < names.size(); number++) {
            add(number, names.get(number));
        }
    }

    private void add(int number, String name) {
        if (name.isEmpty()) {
            throw new InvalidNameException(number, "must not be empty");
        }
        for (char separator : SEPARATORS.toCharArray()) {
            if (name.indexOf(separator) >= 0) {
                String reason =
                        "must not contain '" + separator + "', a separator of the protocol, got '";
                throw new InvalidNameException(number, reason + name + "'");
            }
        }
        Integer before = numbers.putIfAbsent(name, number);
        if (before != null) {
            throw new InvalidNameException(
                    number, "must be unique, but '" + name + "' is also " + field(before));
        }
    }

    /** Returns the field that errors report for the name of a class. */
    static String field(int number) {
        return "class." + number + ".name";
    }

    /**
     * Creates the names of classes, in the order of the class numbers.
     *
     * @throws InvalidNameException for the first name that is empty, duplicates another or contains
     *     a protocol separator
     */
    public static ClassNames of(String... names) {
        return new ClassNames(List.of(names));
    }

    /**
     * Returns the names of the given classes, in the order of the class numbers.
     *
     * @throws InvalidNameException for the first name that is empty, duplicates another or contains
     *     a protocol separator
     */
    static ClassNames of(List<ClassSettings> classes) {
        return new ClassNames(classes.stream().map(ClassSettings::name).toList());
    }

    /** Returns whether a class has this name. */
    public boolean contains(String name) {
        return numbers.containsKey(name);
    }

    /** Returns the number of the class with this name, or -1 if there is none. */
    public int number(String name) {
        return numbers.getOrDefault(name, -1);
    }

    /** Returns the names of the given classes, joined with '+' as in the proxy protocol. */
    public String joined(ClassSet classes) {
        return classes.numbers().mapToObj(names::get).collect(Collectors.joining("+"));
    }
}

package rockshift.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import rockshift.model.ClassSet;

/** The names of the request classes, by number: each has one, and no two the same. */
public final class ClassNames {
    /** What the protocol joins class names, lists and pairs by: no name may hold any of them. */
    private static final String SEPARATORS = "+,:";

    private final List<String> names;
    private final Map<String, Integer> numbers = new HashMap<>();

    /** A class name that cannot be used. */
    public static final class InvalidNameException extends InvalidSettingException {
        private static final long serialVersionUID = 1L;
        private final int number;

        InvalidNameException(int number, String reason) {
            super(ClassNames.field(number), reason);
            this.number = number;
        }

        /** The number of the class whose name it is. */
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
            throw new InvalidNameException(number, "is empty");
        }
        for (char separator : SEPARATORS.toCharArray()) {
            if (name.indexOf(separator) >= 0) {
                String reason = "' holds '" + separator + "', which the protocol separates by";
                throw new InvalidNameException(number, "'" + name + reason);
            }
        }
        Integer before = numbers.putIfAbsent(name, number);
        if (before != null) {
            throw new InvalidNameException(number, "'" + name + "' repeats " + field(before));
        }
    }

    /** How errors call the name of a class. */
    static String field(int number) {
        return "class." + number + ".name";
    }

    /**
     * Names in the order of their numbers.
     *
     * @throws InvalidNameException for the first that is empty, repeats another or holds a
     *     separator of the protocol
     */
    public static ClassNames of(String... names) {
        return new ClassNames(List.of(names));
    }

    /**
     * The names of classes, in the order of their numbers.
     *
     * @throws InvalidNameException for the first that is empty, repeats another or holds a
     *     separator of the protocol
     */
    static ClassNames of(List<ClassSettings> classes) {
        return new ClassNames(classes.stream().map(ClassSettings::name).toList());
    }

    /** Whether a class has this name. */
    public boolean contains(String name) {
        return numbers.containsKey(name);
    }

    /** The number of the class with a name, or -1 where there is none. */
    public int number(String name) {
        return numbers.getOrDefault(name, -1);
    }

    /** The names of some classes, joined as on the proxies' streams. */
    public String joined(ClassSet classes) {
        return classes.numbers().mapToObj(names::get).collect(Collectors.joining("+"));
    }
}

package rockshift.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import rockshift.model.ClassSet;

/** The names of the request classes, by number: each has one, and no two the same. */
public final class ClassNames {
    /**
     * What joins class names, lists and pairs on the proxies' streams; no name may hold any of
     * them.
     */
    private static final String SEPARATORS = "+,:";

    private final List<String> names;
    private final Map<String, Integer> numbers = new HashMap<>();

    /** A name that can't be used; the message tells why. */
    public static final class InvalidNameException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;
        private final int number;

        InvalidNameException(int number, String why) {
            super(why);
            this.number = number;
        }

        /** The number of the class whose name it is. */
        public int number() {
            return number;
        }

        /** How the terms call that name. */
        public String field() {
            return ClassNames.field(number);
        }
    }

    private ClassNames(List<String> names) {
        this.names = names;
        for (int number = 0; number < names.size(); number++) {
            if (names.get(number) != null) {
                add(number, names.get(number));
            }
        }
    }

    private void add(int number, String name) {
        if (name.isEmpty()) {
            throw new InvalidNameException(number, "is empty");
        }
        for (char separator : SEPARATORS.toCharArray()) {
            if (name.indexOf(separator) >= 0) {
                throw new InvalidNameException(
                        number,
                        "'"
                                + name
                                + "' holds '"
                                + separator
                                + "', which the protocol separates by");
            }
        }
        Integer before = numbers.putIfAbsent(name, number);
        if (before != null) {
            throw new InvalidNameException(number, "'" + name + "' repeats " + field(before));
        }
    }

    /** How the terms call the name of a class. */
    private static String field(int number) {
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
     * The names in the terms; a class that the terms leave without one can't be named.
     *
     * @throws InvalidNameException for the first that is empty, repeats another or holds a
     *     separator of the protocol
     */
    public static ClassNames of(Map<String, String> terms) {
        String count = terms.getOrDefault("classes", "");
        List<String> names = new ArrayList<>();
        for (int number = 0; !count.isEmpty() && number < Integer.parseInt(count); number++) {
            names.add(terms.get(field(number)));
        }
        return new ClassNames(names);
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

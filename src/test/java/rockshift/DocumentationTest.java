package rockshift;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Files and types named in the documentation exist. */
class DocumentationTest {
    private static final Path GLOSSARY = Path.of("docs/glossary.md");
    private static final Pattern LINK = Pattern.compile("\\[[^]]*]\\(([^)#:]+)(?:#[^)]*)?\\)");
    private static final Pattern PATH_IN_CODE =
            Pattern.compile("`((?:docs|src|config|deploy|example)/[\\w./-]+\\.\\w+)`");
    private static final Pattern TYPE_IN_CODE =
            Pattern.compile("`([A-Z][a-z]\\w*)(?:[.#]\\w+(?:\\(\\))?)?`");
    private static final String NO_TYPE = "-";
    private static final int TERM_COLUMN = 2;

    @Test
    void everyLinkTargetExists() throws IOException {
        List<String> broken = new ArrayList<>();
        for (Path page : pages()) {
            for (String target : matches(LINK, Files.readString(page))) {
                Path file = page.toAbsolutePath().resolveSibling(target);
                if (!Files.exists(file)) {
                    broken.add(page + " -> " + target);
                }
            }
        }
        assertThat(broken).isEmpty();
    }

    /** Pages on the history of fleets and incidents are excluded, as they keep former names. */
    @Test
    void everyFileNamedInPagesExists() throws IOException {
        Set<String> history =
                Set.of("CHANGELOG.md", "docs/fleet.md", "docs/distance.md", "docs/ROADMAP.md");
        List<String> missing = new ArrayList<>();
        for (Path page : pages()) {
            if (history.contains(page.toString()) || page.startsWith("docs/incidents")) {
                continue;
            }
            for (String file : matches(PATH_IN_CODE, Files.readString(page))) {
                if (!Files.exists(Path.of(file))) {
                    missing.add(page + " -> " + file);
                }
            }
        }
        assertThat(missing).isEmpty();
    }

    /** A row of the glossary: outside word, term with its type in code, meaning, unit. */
    @Test
    void everyTypeInGlossaryExists() throws IOException {
        Set<String> types = typesInCode();
        List<String> unknown = new ArrayList<>();
        int rows = 0;
        for (String line : Files.readAllLines(GLOSSARY)) {
            String[] cells = line.split("(?<!\\\\)\\|", -1);
            boolean isRow = line.startsWith("| ") && !line.startsWith("| ---");
            if (!isRow || cells[TERM_COLUMN].isBlank()) {
                continue;
            }
            rows++;
            List<String> named = matches(TYPE_IN_CODE, cells[TERM_COLUMN]);
            named.stream().filter(type -> !types.contains(type)).forEach(unknown::add);
            boolean isHeading = cells[TERM_COLUMN].trim().equals("term in the code");
            if (named.isEmpty() && !isHeading && !cells[TERM_COLUMN].contains(NO_TYPE)) {
                unknown.add("no type in: " + line);
            }
        }
        assertThat(unknown).isEmpty();
        assertThat(rows).isGreaterThan(50);
    }

    private static List<Path> pages() throws IOException {
        try (Stream<Path> docs = Files.walk(Path.of("docs"))) {
            return Stream.concat(Stream.of(Path.of("README.md"), Path.of("CHANGELOG.md")), docs)
                    .filter(file -> file.toString().endsWith(".md"))
                    .toList();
        }
    }

    private static Set<String> typesInCode() throws IOException {
        Pattern declaration = Pattern.compile("\\b(?:class|interface|enum|record)\\s+([A-Z]\\w+)");
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            List<Path> sources = files.filter(file -> file.toString().endsWith(".java")).toList();
            List<String> names = new ArrayList<>();
            for (Path source : sources) {
                names.addAll(matches(declaration, Files.readString(source)));
            }
            return names.stream().collect(Collectors.toSet());
        }
    }

    private static List<String> matches(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        return matcher.results().map((MatchResult result) -> result.group(1)).toList();
    }
}

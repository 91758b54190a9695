package rockshift;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The build script excludes the tests listed in KNOWN-RED.txt, and no others. It runs in a
 * temporary folder with a fake Maven that records its arguments: the result of a single test is set
 * by {@code RED_TEST}, and {@code verify} succeeds.
 */
class BuildScriptTest {
    private static final String ENTRY =
            "QuorumTest#losesNothing | mvn test -Dtest=QuorumTest, seed 7 | one of two lost | 39";
    private static final String MAVEN =
            """
            #!/bin/bash
            echo "$@" >> calls
            [[ "$*" == *verify* ]] && exit 0
            [ "$RED_TEST" = absent ] && exit 1
            mkdir -p target/surefire-reports
            echo '<testcase/>' > target/surefire-reports/TEST-rockshift.QuorumTest.xml
            [ "$RED_TEST" = passes ]
            """;

    @TempDir private Path folder;

    private record Outcome(int status, String output, List<String> calls) {}

    @BeforeEach
    void createProject() throws IOException {
        Files.createDirectories(folder.resolve(".ci"));
        Files.copy(Path.of(".ci/run"), folder.resolve(".ci/run"));
        Path tests = Files.createDirectories(folder.resolve("src/test/java"));
        Files.writeString(tests.resolve("QuorumTest.java"), "void losesNothing() {}\n");
        Path programs = Files.createDirectories(folder.resolve("programs"));
        Path maven = Files.writeString(programs.resolve("mvn"), MAVEN);
        Files.setPosixFilePermissions(maven, PosixFilePermissions.fromString("rwxr-xr-x"));
    }

    @Test
    void withoutListAllTestsRun() throws Exception {
        Outcome outcome = build("fails");
        assertThat(outcome.status()).isZero();
        assertThat(outcome.calls()).containsExactly("-B verify");
    }

    @Test
    void listedTestThatFailsIsPrintedAndExcluded() throws Exception {
        writeList(ENTRY);
        Outcome outcome = build("fails");
        assertThat(outcome.status()).isZero();
        assertThat(outcome.output()).contains("known red: " + ENTRY);
        assertThat(outcome.calls())
                .containsExactly(
                        "-B -q test -Dtest=QuorumTest#losesNothing",
                        "-B verify -Dtest=!QuorumTest#losesNothing");
    }

    @Test
    void listedTestThatPassesFailsBuild() throws Exception {
        writeList(ENTRY);
        assertBuildFails(build("passes"), "passes, so take it out: QuorumTest#losesNothing");
    }

    @Test
    void listedTestThatDidNotRunFailsBuild() throws Exception {
        writeList(ENTRY);
        assertBuildFails(build("absent"), "did not run: QuorumTest#losesNothing");
    }

    @Test
    void listedTestThatDoesNotExistFailsBuild() throws Exception {
        writeList(ENTRY.replace("losesNothing", "losesMuch"));
        assertBuildFails(build("fails"), "no such test: QuorumTest#losesMuch");
    }

    @Test
    void entryWithoutAllFourFieldsFailsBuild() throws Exception {
        writeList("QuorumTest#losesNothing | mvn test | one of two lost");
        assertBuildFails(build("fails"), "not of the form");
        writeList("QuorumTest#losesNothing, seed 7, 39");
        assertBuildFails(build("fails"), "not of the form");
        writeList("QuorumTest#losesNothing | mvn test |  | 39");
        assertBuildFails(build("fails"), "not of the form");
    }

    @Test
    void fourthEntryFailsBuild() throws Exception {
        writeList(ENTRY, ENTRY, ENTRY, ENTRY);
        assertBuildFails(build("fails"), "more than 3 entries");
    }

    private void writeList(String... entries) throws IOException {
        Files.write(folder.resolve("KNOWN-RED.txt"), List.of(entries));
    }

    private static void assertBuildFails(Outcome outcome, String reason) {
        assertThat(outcome.status()).isEqualTo(1);
        assertThat(outcome.output()).contains("KNOWN-RED.txt: " + reason);
        assertThat(outcome.calls()).noneMatch(call -> call.contains("verify"));
    }

    private Outcome build(String redTest) throws IOException, InterruptedException {
        ProcessBuilder builder =
                new ProcessBuilder("bash", folder.resolve(".ci/run").toString())
                        .redirectErrorStream(true);
        Map<String, String> environment = builder.environment();
        environment.put("PATH", folder.resolve("programs") + ":" + environment.get("PATH"));
        environment.put("RED_TEST", redTest);
        Process script = builder.start();
        script.getOutputStream().close();
        String output = new String(script.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(script.waitFor(1, TimeUnit.MINUTES)).isTrue();
        Path calls = folder.resolve("calls");
        return new Outcome(
                script.exitValue(),
                output,
                Files.exists(calls) ? Files.readAllLines(calls) : List.of());
    }
}

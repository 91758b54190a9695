package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Reloads of the configuration file while the controller serves. */
class ConfigurationReloadTest extends ControllerFixture {
    /**
     * The reloaded file has another address of discovery while a watch of the old address is
     * pending. An answer from the old address would carry an outdated list.
     */
    @Test
    void reloadWithNewDiscoveryAddressMovesOnlyTheWatch() throws Exception {
        String file =
                configuration(
                        "127.0.0.1:0",
                        1024,
                        SETTINGS,
                        entry("s-1", "Ready", 0),
                        entry("s-2", "Ready", 0));
        ControllerServer controller = startWith(file);
        Peer proxy = proxy(controller, 3);
        proxy.receive("ticket", "");
        discovery.enqueue(list(41, true, entry("s-1", "Ready", 0), entry("s-2", "Ready", 0)));
        await("a watch call", () -> discovery.calls.size() == 2);
        try (FakeDiscovery other = new FakeDiscovery()) {
            configuration(other, "127.0.0.1:9", 1024, SETTINGS, entry("s-old", "Ready", 0));
            controller.reload(file);
            other.enqueue(list(3, true, entry("s-1", "Ready", 0), entry("s-3", "Ready", 0)));
            assertThat(proxy.receive("lines", "s-3:").get("lines"))
                    .contains("s-2:0.0")
                    .doesNotContain("s-old");
            await("a watch call at the new address", () -> other.calls.size() == 2);
            assertThat(other.calls)
                    .containsExactly(
                            "GET /discovery/hosts HTTP/1.1",
                            "GET /discovery/hosts?index=3&wait=1000 HTTP/1.1");
            controller.reload(file);
            other.enqueue(list(4, false, entry("s-1", "Gone", 0)));
            proxy.receive("lines", "s-1:0.0");
            assertThat(discovery.calls).as("calls at the old address").hasSize(2);
        }
        awaitLog("restartNeededFor=\"listen\"");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{\"seed\":\"x\"}",
                "{\"discovery\":\"127.0.0.1:99999\"}",
                "{\"name\":\"n1\",\"lis"
            })
    void reloadOfAnInvalidFileKeepsThePreviousConfiguration(String text) throws Exception {
        String file = configuration("127.0.0.1:0", 1024, SETTINGS, entry("s-1", "Ready", 0));
        ControllerServer controller = startWith(file);
        Peer proxy = proxy(controller, 3);
        proxy.receive("ticket", "");
        Files.writeString(Path.of(file), text);
        controller.reload(file);
        Files.delete(Path.of(file));
        controller.reload(file);
        discovery.enqueue(list(41, true, entry("s-1", "Ready", 0), entry("s-3", "Ready", 0)));
        proxy.receive("lines", "s-3:");
        assertThat(loggedLines("reload failed, the previous one is kept"))
                .hasSize(2)
                .allMatch(line -> line.contains(file));
    }

    /**
     * The new file gives two classes the same name, so they cannot be distinguished. The
     * configuration read before stays in force.
     */
    @Test
    void reloadWithARepeatedClassNameKeepsThePreviousConfiguration() throws Exception {
        String file =
                configuration(
                        "127.0.0.1:0",
                        1024,
                        SETTINGS,
                        entry("s-1", "Ready", 0),
                        entry("s-2", "Ready", 0));
        ControllerServer controller = startWith(file);
        Peer proxy = proxy(controller, 3);
        proxy.receive("ticket", "");
        configuration(
                "127.0.0.1:0", 1024, SETTINGS.replace("licence", "cut"), entry("s-1", "Ready", 0));
        controller.reload(file);
        assertThat(loggedLines("reload failed, the previous one is kept"))
                .singleElement()
                .asString()
                .contains("class.1.name");
        discovery.enqueue(list(8, true, entry("s-1", "Ready", 0), entry("s-2", "Terminating", 0)));
        assertThat(proxy.receive("lines", "s-2:0.0")).containsEntry("classes", "cut");
    }

    /** Without a handler, SIGHUP would end the process. */
    @Test
    void processReloadsOnSighupAndEndsOnSigterm() throws Exception {
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "rockshift.Main",
                        "serve");
        builder.environment()
                .put(
                        "RELAY_CONFIG",
                        configuration("127.0.0.1:0", 1024, SETTINGS, entry("s-1", "Ready", 0)));
        Process process = builder.start();
        resources.add(process::destroyForcibly);
        try (BufferedReader log = process.errorReader()) {
            await(
                    "the controller serves",
                    () -> log.lines().anyMatch(line -> line.contains("n1 serves on")));
            for (int i = 0; i < 2; i++) {
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
                await(
                        "logged: configuration reloaded",
                        () ->
                                log.lines()
                                        .anyMatch(line -> line.contains("configuration reloaded")));
            }
            process.destroy();
            assertThat(process.waitFor(AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
            assertThat(process.exitValue()).isZero();
        }
    }
}

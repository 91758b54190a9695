package rockshift.testkit;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * How this program is started as a process of its own, with the options of {@code
 * deploy/balancer.toml}.
 */
public final class ProgramCommand {
    private static final List<String> OPTIONS =
            List.of(
                    "-Xmx64m",
                    "-Xss512k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:MaxMetaspaceSize=40m",
                    "-XX:ReservedCodeCacheSize=24m",
                    "-XX:MaxDirectMemorySize=8m",
                    "-XX:-UsePerfData",
                    "-XX:+ExitOnOutOfMemoryError",
                    "-Djava.net.preferIPv4Stack=true");

    private ProgramCommand() {}

    /** A controller on this program's own classes; what it logs comes on the process's output. */
    public static ProcessBuilder serve(
            Path configuration, List<String> moreOptions, List<String> arguments) {
        List<String> words = new ArrayList<>(List.of("serve"));
        words.addAll(arguments);
        ProcessBuilder builder = command(moreOptions, words);
        builder.environment().put("RELAY_CONFIG", configuration.toString());
        return builder;
    }

    /** Any command on this program's own classes. */
    public static ProcessBuilder command(List<String> moreOptions, List<String> words) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(OPTIONS);
        command.addAll(moreOptions);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "rockshift.Main"));
        command.addAll(words);
        return new ProcessBuilder(command).redirectErrorStream(true);
    }
}

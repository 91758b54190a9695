package rockshift.testkit;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Command lines that start this program as a child process, with the JVM options of {@code
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

    /** Returns the command of a controller, which logs to the process's output. */
    public static ProcessBuilder serve(
            Path configuration, List<String> moreOptions, List<String> arguments) {
        List<String> commandArguments = new ArrayList<>(List.of("serve"));
        commandArguments.addAll(arguments);
        ProcessBuilder builder = command(moreOptions, commandArguments);
        builder.environment().put("RELAY_CONFIG", configuration.toString());
        return builder;
    }

    /** Returns a command that runs on the class path of this JVM. */
    public static ProcessBuilder command(List<String> moreOptions, List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(OPTIONS);
        command.addAll(moreOptions);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "rockshift.Main"));
        command.addAll(arguments);
        return new ProcessBuilder(command).redirectErrorStream(true);
    }
}

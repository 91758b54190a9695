package rockshift;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * Package dependencies have no cycles, and decision code does no I/O, reads no clock and starts no
 * thread.
 */
class ArchitectureTest {
    private static final String SNAPSHOT_ASSEMBLY = "rockshift.raft.SnapshotReceiver";

    private final JavaClasses all =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("rockshift");

    @Test
    void decisionCodeDoesNoIoReadsNoClockAndStartsNoThread() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "rockshift.raft",
                        "rockshift.distribution",
                        "rockshift.planner",
                        "rockshift.model")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.nio..",
                        "java.net..",
                        "java.time..",
                        "java.util.concurrent..",
                        "org..",
                        "com..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class)
                .allowEmptyShould(false)
                .because("time, random numbers and messages are passed in")
                .check(all.that(new NotSnapshotAssembly()));
        noClasses()
                .that()
                .haveFullyQualifiedName(SNAPSHOT_ASSEMBLY)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.nio..",
                        "java.net..",
                        "java.time..",
                        "java.util.concurrent..",
                        "org..",
                        "com..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class)
                .check(all);
    }

    /** Excludes the one class of Raft that may use a byte array stream, to join snapshot chunks. */
    private static final class NotSnapshotAssembly extends DescribedPredicate<JavaClass> {
        NotSnapshotAssembly() {
            super("other than the snapshot assembly");
        }

        @Override
        public boolean test(JavaClass type) {
            return !type.getName().equals(SNAPSHOT_ASSEMBLY);
        }
    }

    @Test
    void packagesImportOnlyAllowedPackages() {
        mayOnlyImport("rockshift.model");
        mayOnlyImport("rockshift.settings", "rockshift.model");
        mayOnlyImport("rockshift.planner", "rockshift.model", "rockshift.settings");
        mayOnlyImport("rockshift.raft");
        mayOnlyImport("rockshift.distribution");
        mayOnlyImport("rockshift.config");
        mayOnlyImport("rockshift.net");
        mayOnlyImport("rockshift.wire", "rockshift.raft", "rockshift.net");
        mayOnlyImport("rockshift.storage", "rockshift.raft", "rockshift.wire");
        mayOnlyImport(
                "rockshift.distribution.wire",
                "rockshift.distribution",
                "rockshift.config",
                "rockshift.net",
                "rockshift.wire");
        mayOnlyImport(
                "rockshift.cluster",
                "rockshift.model",
                "rockshift.raft",
                "rockshift.wire",
                "rockshift.storage",
                "rockshift.distribution",
                "rockshift.distribution.wire",
                "rockshift.net",
                "rockshift.config");
        mayOnlyImport(
                "rockshift.server",
                "rockshift.model",
                "rockshift.net",
                "rockshift.settings",
                "rockshift.planner");
        mayOnlyImport(
                "rockshift.simulation",
                "rockshift.model",
                "rockshift.settings",
                "rockshift.planner");
    }

    @Test
    void controllersUseNoClassesOfCommandsAndMeasurements() {
        noClasses()
                .that()
                .resideInAnyPackage("rockshift.server", "rockshift.simulation")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "picocli..",
                        "com.fasterxml.jackson.databind..",
                        "com.bertramlabs..",
                        "org.apache.commons.math3..")
                .check(all);
        noClasses()
                .that()
                .resideOutsideOfPackages("rockshift.capacity", "rockshift.cli")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("rockshift.capacity")
                .check(all);
        noClasses()
                .that()
                .resideOutsideOfPackage("rockshift.cli")
                .and()
                .doNotHaveFullyQualifiedName("rockshift.Main")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("rockshift.cli")
                .check(all);
    }

    /** Checks that a package uses, of rockshift's packages, only itself and the given ones. */
    private void mayOnlyImport(String name, String... others) {
        DescribedPredicate<JavaClass> allowed =
                resideInAnyPackage(others).or(resideInAPackage(name));
        noClasses()
                .that()
                .resideInAPackage(name)
                .should()
                .dependOnClassesThat(resideInAPackage("rockshift..").and(not(allowed)))
                .allowEmptyShould(false)
                .check(all);
    }
}

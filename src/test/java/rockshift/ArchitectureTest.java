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

/** Imports point one way, and what decides does no I/O, reads no clock and starts no thread. */
class ArchitectureTest {
    private static final String SNAPSHOT_ASSEMBLY = "rockshift.raft.SnapshotReceiver";

    private final JavaClasses all =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("rockshift");

    @Test
    void decisionsDoNoIoReadNoClockAndStartNoThread() {
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
                .because("time, random numbers and messages are handed in")
                .check(all.that(new ExceptForBytesInMemory()));
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

    /** The one class of Raft that joins a snapshot's chunks in a byte array stream. */
    private static final class ExceptForBytesInMemory extends DescribedPredicate<JavaClass> {
        ExceptForBytesInMemory() {
            super("except for bytes in memory");
        }

        @Override
        public boolean test(JavaClass type) {
            return !type.getName().equals(SNAPSHOT_ASSEMBLY);
        }
    }

    @Test
    void importsPointOneWay() {
        mayOnlyImport("rockshift.model");
        mayOnlyImport("rockshift.settings", "rockshift.model");
        mayOnlyImport("rockshift.planner", "rockshift.model", "rockshift.settings");
        mayOnlyImport("rockshift.raft");
        mayOnlyImport("rockshift.distribution");
        mayOnlyImport("rockshift.config");
        mayOnlyImport("rockshift.wire", "rockshift.raft");
        mayOnlyImport("rockshift.storage", "rockshift.raft", "rockshift.wire");
        mayOnlyImport(
                "rockshift.distribution.wire",
                "rockshift.distribution",
                "rockshift.config",
                "rockshift.wire");
        mayOnlyImport(
                "rockshift.cluster",
                "rockshift.model",
                "rockshift.raft",
                "rockshift.wire",
                "rockshift.storage",
                "rockshift.distribution",
                "rockshift.distribution.wire",
                "rockshift.config");
        mayOnlyImport(
                "rockshift.server", "rockshift.model", "rockshift.settings", "rockshift.planner");
        mayOnlyImport(
                "rockshift.simulation",
                "rockshift.model",
                "rockshift.settings",
                "rockshift.planner");
    }

    @Test
    void onlyCommandsUseWhatControllersDoWithout() {
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

    /** Classes of a package use, of rockshift, only their own package and those named. */
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

package rockshift;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Imports point one way, and what decides does no I/O, reads no clock and starts no thread. */
class ArchitectureTest {
    private final JavaClasses all =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("rockshift");

    @Test
    void whatDecidesTouchesNothingOutside() {
        noClasses()
                .that()
                .resideInAnyPackage("rockshift.raft", "rockshift.distribution")
                .or()
                .haveFullyQualifiedName("rockshift.Logic")
                .or()
                .haveFullyQualifiedName("rockshift.Known")
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
                .because("time, chance and messages are handed in")
                .check(
                        all.that(
                                new com.tngtech.archunit.base.DescribedPredicate<>(
                                        "but for bytes in memory") {
                                    @Override
                                    public boolean test(
                                            com.tngtech.archunit.core.domain.JavaClass type) {
                                        return !type.getName().equals("rockshift.raft.Raft");
                                    }
                                }));
        noClasses()
                .that()
                .haveFullyQualifiedName("rockshift.raft.Raft")
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

    @Test
    void importsPointOneWay() {
        noClasses()
                .that()
                .resideInAPackage("rockshift.distribution")
                .should()
                .dependOnClassesThat(
                        resideInAPackage("rockshift..")
                                .and(not(resideInAPackage("rockshift.distribution"))))
                .check(all);
        noClasses()
                .that()
                .resideInAnyPackage("rockshift.raft", "rockshift.net")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("rockshift.distribution")
                .check(all);
        noClasses()
                .that()
                .resideInAPackage("rockshift.raft")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "rockshift",
                        "rockshift.net",
                        "rockshift.cluster",
                        "rockshift.operator",
                        "rockshift.kit",
                        "rockshift.scale",
                        "rockshift.cli",
                        "rockshift.drill")
                .check(all);
        noClasses()
                .that()
                .resideInAPackage("rockshift.cluster")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "rockshift",
                        "rockshift.net",
                        "rockshift.kit",
                        "rockshift.scale",
                        "rockshift.cli")
                .check(all);
        noClasses()
                .that()
                .resideInAnyPackage("rockshift.net", "rockshift.drill")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "rockshift.cluster",
                        "rockshift.raft",
                        "rockshift.operator",
                        "rockshift.kit",
                        "rockshift.scale",
                        "rockshift.cli",
                        "picocli..",
                        "com.fasterxml.jackson.databind..",
                        "com.bertramlabs..",
                        "org.apache.commons.math3..")
                .check(all);
        noClasses()
                .that()
                .resideOutsideOfPackages("rockshift.scale", "rockshift.cli")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("rockshift.scale")
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
}

package org.jasminehub.core;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Test;

final class CorePurityTest {
    private final JavaClasses core = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.jasminehub.core");

    @Test
    void testNoClassUsesInputOutputOrThreads() {
        ArchRuleDefinition.noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.io..", "java.net..", "java.nio.file..", "java.nio.channels..")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching("java\\.lang\\.(Thread|ProcessBuilder|Runtime)|java\\.util\\.(Timer|Random)")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching("java\\.util\\.concurrent\\.(Executor.*|CompletableFuture|ThreadLocalRandom)")
                .check(core);
    }

    @Test
    void testNoClassReadsSystemClock() {
        ArchRuleDefinition.noClasses()
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching("java\\.time\\.(Clock|InstantSource|Instant)")
                .check(core);
    }
}

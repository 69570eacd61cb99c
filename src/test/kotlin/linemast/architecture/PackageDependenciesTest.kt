package linemast.architecture

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.library.Architectures.layeredArchitecture
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against dependencies that break the order of the packages, which docs/ARCHITECTURE.md explains. */
class PackageDependenciesTest {
    private val classes: JavaClasses = ClassFileImporter()
        .withImportOption(ImportOption.DoNotIncludeTests())
        .importPackages("linemast")

    /** The layers from the lowest to the highest: each may use all layers before it and none after it. */
    private val layers = listOf(
        "time" to listOf("time"),
        "serialization" to listOf("serialization"),
        "transport" to listOf("transport"),
        "domain" to listOf("domain"),
        "settings" to listOf("settings"),
        "store" to listOf("store"),
        "leadership" to listOf("leadership"),
        "wire forms of the edges" to listOf("workers", "admission", "planning"),
        "cloud and jobs" to listOf("cloud", "jobs"),
        "failure handling" to listOf("duties", "recovery", "peers"),
        "scheduling" to listOf("scheduling"),
        "autoscaling" to listOf("autoscaling"),
        "control" to listOf("control"),
        "app" to listOf("app"),
    )

    @Test
    fun `packages do not depend on each other in a cycle`() {
        slices().matching("linemast.(*)..").should().beFreeOfCycles().check(classes)
    }

    @Test
    fun `packages depend only on lower layers`() {
        var architecture = layeredArchitecture().consideringOnlyDependenciesInAnyPackage("linemast..")
        for ((layer, packages) in layers) {
            architecture = architecture.layer(layer).definedBy(*packages.map { "linemast.$it.." }.toTypedArray())
        }
        for ((index, layer) in layers.withIndex()) {
            val higherLayers = layers.drop(index + 1).map { it.first }.toTypedArray()
            architecture = if (higherLayers.isEmpty()) {
                architecture.whereLayer(layer.first).mayNotBeAccessedByAnyLayer()
            } else {
                architecture.whereLayer(layer.first).mayOnlyBeAccessedByLayers(*higherLayers)
            }
        }
        architecture.check(classes)
    }

    @Test
    fun `every package has a layer`() {
        val packages = classes.map { it.packageName.removePrefix("linemast.").substringBefore('.') }.toSet()
        assertEquals(layers.flatMap { it.second }.toSet(), packages)
    }
}

package linemast.architecture

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.readText

/**
 * Guards against words of the protocols and the store that spread through the code. docs/glossary.md maps these words to the terms of the
 * code; they may occur only where bodies and records are read and written.
 */
class ProtocolWordsTest {
    /** Words without another meaning; they are looked for in identifiers and in the words of string literals. */
    private val distinctive = setOf(
        "helm", "era", "stamp", "lane", "crew", "urgency", "piece", "pieces", "rig", "rigs", "yard", "yards", "loaners", "bundle",
        "pull_gb", "guess_s", "due_s", "mark_every_s", "mark_s", "same_place", "beat", "halt", "wind_down_s", "gathering", "mates",
        "mates_gone", "recall_s", "charter", "bridge", "withdrawn",
    )

    /** Words that are also terms of the field or plain English; they are looked for as whole string literals. */
    private val ambiguous = setOf(
        "hold", "follow", "awaits", "shape", "sweep", "gang", "standing", "try", "build", "builds", "apart", "orders", "clear", "alone",
        "watch", "tick",
    )

    /** Parts of longer protocol words; they are looked for so that identifiers that contain them are found too. */
    private val partialWords = setOf("mates", "yards")

    /** Files that read and write bodies and records. This list may only shrink. */
    private val codecs = setOf(
        "admission/AdmissionCodec.kt", "cloud/CloudCodec.kt", "cloud/MachineTypeCodec.kt", "duties/IntentCodec.kt",
        "jobs/JobRecordCodec.kt", "jobs/JobResponseCodec.kt", "jobs/JobSpecCodec.kt", "jobs/OutcomeRecordCodec.kt",
        "leadership/LeaderKeys.kt", "leadership/LeaderRecord.kt",
        "store/StoreCodec.kt", "workers/HeartbeatCodec.kt", "workers/MachineRegistryCodec.kt",
    )

    /** Other files that still contain such words, with the reason. This list may only shrink. */
    private val otherFiles = mapOf(
        "app/Metrics.kt" to "names the path of heartbeats in its table of latencies",
        "app/RequestRouter.kt" to "routes the path of heartbeats",
        "app/StandInServices.kt" to "stands in for the store and the cloud over the real protocols",
        "app/ArchiveTraining.kt" to "stands in for a worker and a user over the real protocols",
        "control/BaselineFleetStore.kt" to "reads and writes the record of the baseline fleet itself",
        "duties/LeadershipSnapshot.kt" to "reads the keys of leadership for the inspection command",
        "recovery/ReconciliationReport.kt" to "writes the record of the last failover itself",
    )

    /** Returns the words of the protocols and the store that occur in the [file]. */
    private fun protocolWordsIn(file: SourceFile): Set<String> {
        val identifiers = IDENTIFIER.findAll(file.code).flatMap { wordsOfIdentifier(it.value) }
        val literalWords = file.literals.asSequence().flatMap { literal -> IDENTIFIER.findAll(literal).map { it.value } }
        return (identifiers + literalWords).filterTo(sortedSetOf()) { it in distinctive } + file.literals.filter { it in ambiguous }
    }

    /** Returns the [identifier] as a whole and the words that it consists of, in lower case. */
    private fun wordsOfIdentifier(identifier: String): List<String> =
        CAMEL_WORD.findAll(identifier).map { it.value.lowercase() }.toList() + identifier.lowercase()

    @Test
    fun `words of the protocols and the store occur only in the listed files`() {
        val found = SourceFile.ofProgram().associate { it.name to protocolWordsIn(it) }.filterValues { it.isNotEmpty() }
        val unexpected = found.filterKeys { it !in codecs && it !in otherFiles }
        assertEquals(emptyMap<String, Set<String>>(), unexpected, "map these words to terms of docs/glossary.md in a codec")
        assertEquals(emptySet<String>(), (codecs + otherFiles.keys) - found.keys, "listed files without such words")
    }

    @Test
    fun `each word that is looked for is mapped to a term in the glossary`() {
        val table = Path.of("docs/glossary.md").readText().lines().filter { it.startsWith("| ") }
        val mapped = table.flatMap { line -> QUOTED.findAll(line).flatMap { WORD.findAll(it.groupValues[1]) }.map { it.value } }.toSet()
        assertEquals(emptySet<String>(), (distinctive + ambiguous) - mapped - partialWords)
    }

    @Test
    fun `protocol words in identifiers, keys and other string literals are found, those in comments are ignored`() {
        val planted =
            SourceFile("Planted.kt", "val rigName = map[\"yard\"] // a crew\nval shape = \"gang\"\nlog.info(\"\"\"{} pieces\"\"\")")
        assertEquals(setOf("gang", "pieces", "rig", "yard"), protocolWordsIn(planted))
    }

    private companion object {
        val IDENTIFIER = Regex("[A-Za-z_][A-Za-z0-9_]*")
        val CAMEL_WORD = Regex("[A-Z]?[a-z0-9]+|[A-Z]+")
        val QUOTED = Regex("`([^`]+)`")
        val WORD = Regex("[a-z_]+")
    }
}

package linemast.app

import linemast.duties.IntentInspection
import linemast.duties.IntentReport
import linemast.duties.toHtml
import linemast.duties.toText
import linemast.serialization.MalformedException
import linemast.settings.DutySettings
import linemast.settings.Settings
import linemast.store.KeyValueStoreClient
import linemast.store.StoreException
import linemast.time.MICROS_PER_MILLI
import linemast.time.SteadyClock
import linemast.transport.EventLoop
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** The command that reports on the latest actions at the cloud, from the store alone; no controller has to run. */
internal class InspectionCommand(private val settings: Settings, private val duties: DutySettings, private val htmlFile: Path?) {
    /** Prints the report and writes the page; the exit code of the process. */
    fun run(): Int {
        var report: IntentReport? = null
        val loop = EventLoop()
        try {
            loop.run {
                val store = KeyValueStoreClient(loop, settings.storeAddress, settings.storeLimits, settings.controllers, SteadyClock)
                report = IntentInspection(store, duties) { System.currentTimeMillis() * MICROS_PER_MILLI }.report()
            }
            val found = checkNotNull(report)
            print(found.toText())
            htmlFile?.let { Files.writeString(it, found.toHtml()) }
            return if (found.hasViolations) EXIT_VIOLATIONS else 0
        } catch (e: StoreException) {
            System.err.println("linemast: the state service at ${settings.storeAddress}: ${e.message}")
        } catch (e: MalformedException) {
            System.err.println("linemast: a malformed record in the state service: ${e.message}")
        } catch (e: IOException) {
            System.err.println("linemast: $htmlFile: ${e.message}")
        }
        return EXIT_FAILED
    }

    private companion object {
        const val EXIT_FAILED = 1
        const val EXIT_VIOLATIONS = 4
    }
}

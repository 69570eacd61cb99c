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

/** Reports the latest cloud actions and their audit. It reads only the store; no controller has to run. */
internal class InspectionCommand(private val settings: Settings, private val duties: DutySettings, private val htmlFile: Path?) {
    /** Prints the report and also writes it to [htmlFile] if there is one; returns the exit code of the process. */
    fun run(): Int {
        try {
            val report = readReport()
            print(report.toText())
            htmlFile?.let { Files.writeString(it, report.toHtml()) }
            return if (report.hasViolations) ExitCode.VIOLATIONS else ExitCode.OK
        } catch (e: StoreException) {
            System.err.println("linemast: reading the key-value store at ${settings.storeAddress} failed: ${e.message}")
        } catch (e: MalformedException) {
            System.err.println("linemast: the key-value store holds a malformed record: ${e.message}")
        } catch (e: IOException) {
            System.err.println("linemast: writing the report to $htmlFile failed: ${e.message}")
        }
        return ExitCode.FAILED
    }

    private fun readReport(): IntentReport {
        val loop = EventLoop()
        var report: IntentReport? = null
        loop.run {
            val store = KeyValueStoreClient(loop, settings.storeAddress, settings.storeLimits, settings.controllerCount, SteadyClock)
            report = IntentInspection(store, duties) { System.currentTimeMillis() * MICROS_PER_MILLI }.report()
        }
        return checkNotNull(report) { "the event loop ended without a report" }
    }
}

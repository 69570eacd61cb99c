package linemast.serialization

import com.fasterxml.jackson.core.JsonFactory
import java.io.OutputStream

/** Sizes of [ValueTree]s in their JSON form, in which the limits of the protocol are counted. */
object JsonSize {
    private val factory = JsonFactory()

    /** How many bytes the JSON form of [value] takes. */
    fun of(value: Any?): Int {
        val out = CountingStream()
        factory.createGenerator(out).use { ValueTree.write(it, value) }
        return out.count
    }

    private class CountingStream : OutputStream() {
        var count = 0
            private set

        override fun write(byte: Int) {
            count++
        }

        override fun write(bytes: ByteArray, offset: Int, length: Int) {
            count += length
        }
    }
}

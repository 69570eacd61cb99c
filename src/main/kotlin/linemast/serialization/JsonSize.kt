package linemast.serialization

import com.fasterxml.jackson.core.JsonFactory
import java.io.OutputStream

/** Computes the size of [ValueTree]s in JSON, the form to which the size limits of the protocol apply. */
object JsonSize {
    private val factory = JsonFactory()

    /** Returns the number of bytes of the JSON form of [value]. */
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

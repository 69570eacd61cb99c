package linemast.transport

/** The endpoint at [host], an IPv4 address or a name, and [port], as the settings write it: `10.0.0.1:8080`. */
data class Address(val host: String, val port: Int) {
    override fun toString() = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /** Null when [text] is not an address. */
        fun parse(text: String): Address? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            return if (host.isEmpty() || port !in 1..MAX_PORT) null else Address(host, port)
        }
    }
}

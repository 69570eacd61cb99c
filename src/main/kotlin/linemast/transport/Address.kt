package linemast.transport

/** An endpoint: [host], an IPv4 address or a host name, and [port]. Settings write an address as `10.0.0.1:8080`. */
data class Address(val host: String, val port: Int) {
    override fun toString() = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /** Parses [text]; returns null if it is not a host and a port that are separated by a colon. */
        fun parse(text: String): Address? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            return if (host.isEmpty() || port !in 1..MAX_PORT) null else Address(host, port)
        }
    }
}

package linemast.serialization

/** Thrown for input that does not have the form required by the protocol, the settings or the codec of a stored record. */
class MalformedException(message: String) : Exception(message)

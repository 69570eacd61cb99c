package linemast.serialization

/** Input that does not have the form that the protocol, the settings or a stored record's codec gives it. */
class MalformedException(message: String) : Exception(message)

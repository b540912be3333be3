"""Generated thrift code of the messages between daemons."""

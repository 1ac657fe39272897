package agent

// NewTransport is the transport of an agent without Deps.Transport.
var NewTransport = newTransport

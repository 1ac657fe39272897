package rpc

const (
	// maxNameSize bounds the method and the id of a request.
	maxNameSize = 128
	// envelopeSize is more than a request has beyond its params.
	envelopeSize = 1 << 10
	// maxParamsSize bounds the params of requests in bytes. Those that are no lists (reports
	// of many models, upstreams or records, statements) have maxShortParamsSize. The longest
	// list is an append of 1 MiB to the log.
	maxParamsSize      = 2 << 20
	maxShortParamsSize = 64 << 10
	// maxDepth is more than JSON texts may be nested.
	maxDepth = 1 << 20
	// recordDepth is the depth in the params of an append down to which they are decoded:
	// below are the bodies of records, which are passed on.
	recordDepth = 3
)

// shortKinds are the methods whose params are no lists.
var shortKinds = map[string]struct{}{
	MethodResidency: {}, MethodPermit: {}, MethodExplain: {},
	MethodRelayRead: {}, MethodPart: {}, MethodSnapshot: {}, MethodStoreSlot: {}, MethodStoreShare: {},
	MethodClaim: {}, MethodClaimDone: {}, MethodClaimLookup: {}, MethodCrash: {},
	MethodWake: {}, MethodUnload: {}, MethodClaimStatus: {}, MethodDrain: {}, MethodAgentStatus: {},
}

// paramsLimit bounds the params of a method in bytes.
func paramsLimit(method string) int {
	if _, ok := shortKinds[method]; ok {
		return maxShortParamsSize
	}
	return maxParamsSize
}

// decodedDepth is the depth down to which the params of a method are decoded.
func decodedDepth(method string) int {
	if method == MethodRelayAppend {
		return recordDepth
	}
	return maxDepth
}

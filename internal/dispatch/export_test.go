package dispatch

// EncodeSummaries and DecodeSummaries are the encoding of what peers are told of queues.
var (
	EncodeSummaries = encodeSummaries
	DecodeSummaries = decodeSummaries
)

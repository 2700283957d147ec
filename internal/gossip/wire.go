package gossip

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"storj.io/drpc"
)

// memberInfo is the member list's information about one process.
type memberInfo struct {
	Member
	// Generation orders the incarnations of a name. A process that hears of another incarnation of its own name takes a higher
	// generation.
	Generation uint64
}

// entry is an update about one process. Fields that the receiver already has are omitted.
type entry struct {
	// ID identifies the process on one stream. The first entry with an ID has an Info; senderID is the sender's own.
	ID uint64
	// Info is nil if it was sent before on this stream and has not changed.
	Info *memberInfo
	// Heartbeat is a counter that only grows within an incarnation; 0 if the entry carries none.
	Heartbeat uint64
	// HeartbeatAge is the time since the process itself was heard from.
	HeartbeatAge             time.Duration
	State, Notes, LoadReport payload
	// ExtraDelay is how much longer than the fastest the frame was in transit. The receiver sets it; it is not on the wire.
	ExtraDelay time.Duration
}

// payload is the state, the notes or the load report of a process.
type payload struct {
	// Version is the heartbeat counter when Body was built; 0 if the entry has no payload.
	Version uint64
	Body    []byte
	// Age is the time since Body was built.
	Age time.Duration
}

// senderID is the entry ID of the sender's own entry.
const senderID = 0

// frame is a message on a stream, in either direction.
type frame struct {
	// Subscription is what the sender subscribes to from now on; nil if unchanged.
	Subscription *subscription
	Entries      []entry
	Requests     []streamRequest
	Responses    []streamResponse
	// SenderUptime is the time from the sender's start to the creation of the frame, in whole milliseconds on the wire; 0 if the
	// sender does not report it.
	SenderUptime time.Duration
}

// maxFrameItems bounds the entries, requests and responses of a frame, each of which takes far more memory than bytes on the wire. It is
// many times the number of instances.
const maxFrameItems = 1 << 16

func (fr *frame) empty() bool {
	return fr.Subscription == nil && len(fr.Entries) == 0 && len(fr.Requests) == 0 && len(fr.Responses) == 0
}

// streamRequest is a request sent on a stream.
type streamRequest struct {
	// ID is unique among the requests of one sender on one stream.
	ID uint64
	request
}

// streamResponse is the response to the streamRequest with the same ID.
type streamResponse struct {
	ID uint64
	response
}

// request fetches a document or, with a body, sends a query.
type request struct {
	Name string
	// Body is empty for a fetch. An instance of the previous build ignores it, and finds no document of the name.
	Body []byte
}

// response is the response to a request.
type response struct {
	Found bool
	Body  []byte
}

// Field numbers on the wire. A number is never reused for another field.
const (
	frameEntry        protowire.Number = 1
	frameRequest      protowire.Number = 2
	frameResponse     protowire.Number = 3
	frameSubscription protowire.Number = 4
	frameSenderUptime protowire.Number = 5

	subscriptionScope      protowire.Number = 1
	subscriptionShard      protowire.Number = 2
	subscriptionShardCount protowire.Number = 3

	entryID           protowire.Number = 1
	entryInfo         protowire.Number = 2
	entryHeartbeat    protowire.Number = 3
	entryHeartbeatAge protowire.Number = 4
	entryStateVersion protowire.Number = 5
	entryState        protowire.Number = 6
	entryStateAge     protowire.Number = 7
	// An instance of the previous build ignores the notes.
	entryNotesVersion protowire.Number = 8
	entryNotes        protowire.Number = 9
	entryNotesAge     protowire.Number = 10
	// An instance of the previous build ignores the load report.
	entryLoadReportVersion protowire.Number = 11
	entryLoadReport        protowire.Number = 12
	entryLoadReportAge     protowire.Number = 13

	infoName             protowire.Number = 1
	infoIncarnation      protowire.Number = 2
	infoAddress          protowire.Number = 3
	infoZone             protowire.Number = 4
	infoStopping         protowire.Number = 5
	infoGeneration       protowire.Number = 6
	infoBandwidth        protowire.Number = 7
	infoStoreUnreachable protowire.Number = 8

	requestName protowire.Number = 1
	requestID   protowire.Number = 2
	requestBody protowire.Number = 3

	responseFound protowire.Number = 1
	responseBody  protowire.Number = 2
	responseID    protowire.Number = 3
)

// encoding encodes messages in the protocol buffer wire format.
type encoding struct{}

// Marshal implements drpc.Encoding.
func (en encoding) Marshal(msg drpc.Message) ([]byte, error) { return en.MarshalAppend(nil, msg) }

// MarshalAppend appends the encoded message to b.
func (encoding) MarshalAppend(b []byte, msg drpc.Message) ([]byte, error) {
	switch m := msg.(type) {
	case *frame:
		return m.append(b), nil
	case *request:
		return m.append(b), nil
	case *response:
		return m.append(b), nil
	}
	return nil, &MalformedError{Message: "unknown message type"}
}

// Unmarshal decodes a message. It retains no part of b.
func (encoding) Unmarshal(b []byte, msg drpc.Message) error {
	switch m := msg.(type) {
	case *frame:
		return eachField(b, m.set)
	case *request:
		return eachField(b, m.set)
	case *response:
		return eachField(b, m.set)
	}
	return &MalformedError{Message: "unknown message type"}
}

func (fr *frame) append(b []byte) []byte {
	if fr.Subscription != nil {
		b = appendMessage(b, frameSubscription, fr.Subscription.append(nil))
	}
	for _, e := range fr.Entries {
		b = appendMessage(b, frameEntry, e.append(nil))
	}
	for _, sr := range fr.Requests {
		b = appendMessage(b, frameRequest, appendVarint(sr.append(nil), requestID, sr.ID))
	}
	for _, sr := range fr.Responses {
		b = appendMessage(b, frameResponse, appendVarint(sr.append(nil), responseID, sr.ID))
	}
	return appendVarint(b, frameSenderUptime, uint64(fr.SenderUptime.Milliseconds()))
}

func (su subscription) append(b []byte) []byte {
	b = appendVarint(b, subscriptionScope, uint64(su.Scope))
	b = appendVarint(b, subscriptionShard, su.Shard)
	return appendVarint(b, subscriptionShardCount, su.ShardCount)
}

func (rq request) append(b []byte) []byte {
	b = appendBytes(b, requestName, []byte(rq.Name))
	return appendBytes(b, requestBody, rq.Body)
}

func (rs response) append(b []byte) []byte {
	b = appendBool(b, responseFound, rs.Found)
	return appendBytes(b, responseBody, rs.Body)
}

func (e entry) append(b []byte) []byte {
	b = appendVarint(b, entryID, e.ID)
	if e.Info != nil {
		b = appendMessage(b, entryInfo, e.Info.append(nil))
	}
	b = appendVarint(b, entryHeartbeat, e.Heartbeat)
	b = appendVarint(b, entryHeartbeatAge, toMicros(e.HeartbeatAge))
	b = appendVarint(b, entryStateVersion, e.State.Version)
	b = appendBytes(b, entryState, e.State.Body)
	b = appendVarint(b, entryStateAge, toMicros(e.State.Age))
	b = appendVarint(b, entryNotesVersion, e.Notes.Version)
	b = appendBytes(b, entryNotes, e.Notes.Body)
	b = appendVarint(b, entryNotesAge, toMicros(e.Notes.Age))
	b = appendVarint(b, entryLoadReportVersion, e.LoadReport.Version)
	b = appendBytes(b, entryLoadReport, e.LoadReport.Body)
	return appendVarint(b, entryLoadReportAge, toMicros(e.LoadReport.Age))
}

func (mi memberInfo) append(b []byte) []byte {
	b = appendBytes(b, infoName, []byte(mi.Name))
	b = appendBytes(b, infoIncarnation, []byte(mi.Incarnation))
	b = appendBytes(b, infoAddress, []byte(mi.Address))
	b = appendBytes(b, infoZone, []byte(mi.AvailabilityZone))
	b = appendBool(b, infoStopping, mi.Stopping)
	b = appendVarint(b, infoBandwidth, mi.BandwidthMbps)
	b = appendBool(b, infoStoreUnreachable, mi.StoreUnreachable)
	return appendVarint(b, infoGeneration, mi.Generation)
}

// set stores one decoded field in the frame.
func (fr *frame) set(f field) error {
	var err error
	if len(fr.Entries)+len(fr.Requests)+len(fr.Responses) >= maxFrameItems {
		return &MalformedError{Message: "too many entries"}
	}
	switch f.num {
	case frameEntry:
		var e entry
		err = eachField(f.bytes, e.set)
		fr.Entries = append(fr.Entries, e)
	case frameRequest:
		var sr streamRequest
		err = eachField(f.bytes, sr.set)
		fr.Requests = append(fr.Requests, sr)
	case frameResponse:
		var sr streamResponse
		err = eachField(f.bytes, sr.set)
		fr.Responses = append(fr.Responses, sr)
	case frameSubscription:
		fr.Subscription = &subscription{}
		err = eachField(f.bytes, fr.Subscription.set)
	case frameSenderUptime:
		fr.SenderUptime = time.Duration(min(f.varint, maxUptimeMillis)) * time.Millisecond
	}
	return err
}

func (su *subscription) set(f field) error {
	switch f.num {
	case subscriptionScope:
		su.Scope = scope(f.varint)
	case subscriptionShard:
		su.Shard = f.varint
	case subscriptionShardCount:
		su.ShardCount = f.varint
	}
	return nil
}

func (sr *streamRequest) set(f field) error {
	if f.num == requestID {
		sr.ID = f.varint
		return nil
	}
	return sr.request.set(f)
}

func (sr *streamResponse) set(f field) error {
	if f.num == responseID {
		sr.ID = f.varint
		return nil
	}
	return sr.response.set(f)
}

func (rq *request) set(f field) error {
	switch f.num {
	case requestName:
		rq.Name = string(f.bytes)
	case requestBody:
		rq.Body = bytes.Clone(f.bytes)
	}
	return nil
}

func (rs *response) set(f field) error {
	switch f.num {
	case responseFound:
		rs.Found = f.varint != 0
	case responseBody:
		rs.Body = bytes.Clone(f.bytes)
	}
	return nil
}

func (e *entry) set(f field) error {
	switch f.num {
	case entryID:
		e.ID = f.varint
	case entryInfo:
		e.Info = &memberInfo{}
		return eachField(f.bytes, e.Info.set)
	case entryHeartbeat:
		e.Heartbeat = f.varint
	case entryHeartbeatAge:
		e.HeartbeatAge = fromMicros(f.varint)
	case entryStateVersion:
		e.State.Version = f.varint
	case entryState:
		e.State.Body = bytes.Clone(f.bytes)
	case entryStateAge:
		e.State.Age = fromMicros(f.varint)
	case entryNotesVersion:
		e.Notes.Version = f.varint
	case entryNotes:
		e.Notes.Body = bytes.Clone(f.bytes)
	case entryNotesAge:
		e.Notes.Age = fromMicros(f.varint)
	case entryLoadReportVersion:
		e.LoadReport.Version = f.varint
	case entryLoadReport:
		e.LoadReport.Body = bytes.Clone(f.bytes)
	case entryLoadReportAge:
		e.LoadReport.Age = fromMicros(f.varint)
	}
	return nil
}

func (mi *memberInfo) set(f field) error {
	switch f.num {
	case infoName:
		mi.Name = string(f.bytes)
	case infoIncarnation:
		mi.Incarnation = string(f.bytes)
	case infoAddress:
		mi.Address = string(f.bytes)
	case infoZone:
		mi.AvailabilityZone = string(f.bytes)
	case infoStoreUnreachable:
		mi.StoreUnreachable = f.varint != 0
	case infoStopping:
		mi.Stopping = f.varint != 0
	case infoGeneration:
		mi.Generation = f.varint
	case infoBandwidth:
		mi.BandwidthMbps = f.varint
	}
	return nil
}

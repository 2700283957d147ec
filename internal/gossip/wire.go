package gossip

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"storj.io/drpc"
)

// card is what the member list holds of one process.
type card struct {
	Member
	// Generation orders the incarnations of a name: a process that hears of another incarnation of its own name takes
	// a higher one.
	Generation uint64
}

// entry tells about one process. Fields that the receiver knows already are left out.
type entry struct {
	// ID stands for the process on one stream; the first entry with an ID has a card. senderID is the sender.
	ID uint64
	// Card is nil when it was sent before on this stream and has not changed.
	Card *card
	// Pulse only grows within an incarnation; 0 means that the entry tells none.
	Pulse uint64
	// PulseAge is the time since the process itself was heard.
	PulseAge     time.Duration
	State, Notes part
	// Delay is by how much longer than usual the frame was under way. The receiver finds it; it is not on the wire.
	Delay time.Duration
}

// part is one of the texts that a process tells of itself.
type part struct {
	// Version is the pulse at which Body was made; 0 means that the entry has none.
	Version uint64
	Body    []byte
	// Age is the time since Body was made.
	Age time.Duration
}

// senderID is the entry ID of the sender itself.
const senderID = 0

// frame is the message of a stream, in both directions.
type frame struct {
	// Wants is what the sender wants to be told from now on; nil when that is as before.
	Wants   *subscription
	Entries []entry
	Asks    []ask
	Answers []answer
	// Sent is the time from the sender's start to when the frame was made, in whole milliseconds on the wire; 0 when the
	// sender does not tell.
	Sent time.Duration
}

func (fr *frame) empty() bool {
	return fr.Wants == nil && len(fr.Entries) == 0 && len(fr.Asks) == 0 && len(fr.Answers) == 0
}

// ask asks for a document on the stream.
type ask struct {
	// ID is unique among the asks of one sender on one stream.
	ID uint64
	request
}

// answer answers the ask of its ID.
type answer struct {
	ID uint64
	document
}

// request asks for a document, or, with a body, puts a question.
type request struct {
	Name string
	// Body is empty for documents. An instance of the build before passes it over, and has no document of the name.
	Body []byte
}

// document answers a request.
type document struct {
	Found bool
	Body  []byte
}

// Field numbers on the wire. They are never used again for something else.
const (
	frameEntry  protowire.Number = 1
	frameAsk    protowire.Number = 2
	frameAnswer protowire.Number = 3
	frameWants  protowire.Number = 4
	frameSent   protowire.Number = 5

	wantsScope protowire.Number = 1
	wantsPart  protowire.Number = 2
	wantsParts protowire.Number = 3

	entryID       protowire.Number = 1
	entryCard     protowire.Number = 2
	entryPulse    protowire.Number = 3
	entryPulseAge protowire.Number = 4
	entryVersion  protowire.Number = 5
	entryBody     protowire.Number = 6
	entryBodyAge  protowire.Number = 7
	// An instance of the build before passes over the notes.
	entryNotesVersion protowire.Number = 8
	entryNotes        protowire.Number = 9
	entryNotesAge     protowire.Number = 10

	cardName        protowire.Number = 1
	cardIncarnation protowire.Number = 2
	cardAddress     protowire.Number = 3
	cardZone        protowire.Number = 4
	cardStopping    protowire.Number = 5
	cardGeneration  protowire.Number = 6
	cardMegabits    protowire.Number = 7
	cardStoreless   protowire.Number = 8

	requestName protowire.Number = 1
	requestID   protowire.Number = 2
	requestBody protowire.Number = 3

	documentFound protowire.Number = 1
	documentBody  protowire.Number = 2
	documentID    protowire.Number = 3
)

// encoding writes messages in the protocol buffer wire format.
type encoding struct{}

// Marshal returns the bytes of a message.
func (en encoding) Marshal(msg drpc.Message) ([]byte, error) { return en.MarshalAppend(nil, msg) }

// MarshalAppend appends the bytes of a message.
func (encoding) MarshalAppend(b []byte, msg drpc.Message) ([]byte, error) {
	switch m := msg.(type) {
	case *frame:
		return m.append(b), nil
	case *request:
		return m.append(b), nil
	case *document:
		return m.append(b), nil
	}
	return nil, &MalformedError{Message: "of an unknown type"}
}

// Unmarshal reads a message; it keeps no part of b.
func (encoding) Unmarshal(b []byte, msg drpc.Message) error {
	switch m := msg.(type) {
	case *frame:
		return eachField(b, m.set)
	case *request:
		return eachField(b, m.set)
	case *document:
		return eachField(b, m.set)
	}
	return &MalformedError{Message: "of an unknown type"}
}

func (fr *frame) append(b []byte) []byte {
	if fr.Wants != nil {
		b = appendMessage(b, frameWants, fr.Wants.append(nil))
	}
	for _, e := range fr.Entries {
		b = appendMessage(b, frameEntry, e.append(nil))
	}
	for _, a := range fr.Asks {
		b = appendMessage(b, frameAsk, appendVarint(a.append(nil), requestID, a.ID))
	}
	for _, a := range fr.Answers {
		b = appendMessage(b, frameAnswer, appendVarint(a.append(nil), documentID, a.ID))
	}
	return appendVarint(b, frameSent, uint64(fr.Sent.Milliseconds()))
}

func (su subscription) append(b []byte) []byte {
	b = appendVarint(b, wantsScope, uint64(su.Scope))
	b = appendVarint(b, wantsPart, su.Part)
	return appendVarint(b, wantsParts, su.Parts)
}

func (rq request) append(b []byte) []byte {
	b = appendBytes(b, requestName, []byte(rq.Name))
	return appendBytes(b, requestBody, rq.Body)
}

func (doc document) append(b []byte) []byte {
	b = appendBool(b, documentFound, doc.Found)
	return appendBytes(b, documentBody, doc.Body)
}

func (e entry) append(b []byte) []byte {
	b = appendVarint(b, entryID, e.ID)
	if e.Card != nil {
		b = appendMessage(b, entryCard, e.Card.append(nil))
	}
	b = appendVarint(b, entryPulse, e.Pulse)
	b = appendVarint(b, entryPulseAge, micros(e.PulseAge))
	b = appendVarint(b, entryVersion, e.State.Version)
	b = appendBytes(b, entryBody, e.State.Body)
	b = appendVarint(b, entryBodyAge, micros(e.State.Age))
	b = appendVarint(b, entryNotesVersion, e.Notes.Version)
	b = appendBytes(b, entryNotes, e.Notes.Body)
	return appendVarint(b, entryNotesAge, micros(e.Notes.Age))
}

func (c card) append(b []byte) []byte {
	b = appendBytes(b, cardName, []byte(c.Name))
	b = appendBytes(b, cardIncarnation, []byte(c.Incarnation))
	b = appendBytes(b, cardAddress, []byte(c.Address))
	b = appendBytes(b, cardZone, []byte(c.AvailabilityZone))
	b = appendBool(b, cardStopping, c.Stopping)
	b = appendVarint(b, cardMegabits, c.BandwidthMbps)
	b = appendBool(b, cardStoreless, c.StoreUnreachable)
	return appendVarint(b, cardGeneration, c.Generation)
}

// set takes a field of a frame.
func (fr *frame) set(f field) error {
	var err error
	switch f.num {
	case frameEntry:
		var e entry
		err = eachField(f.bytes, e.set)
		fr.Entries = append(fr.Entries, e)
	case frameAsk:
		var a ask
		err = eachField(f.bytes, a.set)
		fr.Asks = append(fr.Asks, a)
	case frameAnswer:
		var a answer
		err = eachField(f.bytes, a.set)
		fr.Answers = append(fr.Answers, a)
	case frameWants:
		fr.Wants = &subscription{}
		err = eachField(f.bytes, fr.Wants.set)
	case frameSent:
		fr.Sent = time.Duration(min(f.varint, maxSent)) * time.Millisecond
	}
	return err
}

func (su *subscription) set(f field) error {
	switch f.num {
	case wantsScope:
		su.Scope = scope(f.varint)
	case wantsPart:
		su.Part = f.varint
	case wantsParts:
		su.Parts = f.varint
	}
	return nil
}

func (a *ask) set(f field) error {
	if f.num == requestID {
		a.ID = f.varint
		return nil
	}
	return a.request.set(f)
}

func (a *answer) set(f field) error {
	if f.num == documentID {
		a.ID = f.varint
		return nil
	}
	return a.document.set(f)
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

func (doc *document) set(f field) error {
	switch f.num {
	case documentFound:
		doc.Found = f.varint != 0
	case documentBody:
		doc.Body = bytes.Clone(f.bytes)
	}
	return nil
}

func (e *entry) set(f field) error {
	switch f.num {
	case entryID:
		e.ID = f.varint
	case entryCard:
		e.Card = &card{}
		return eachField(f.bytes, e.Card.set)
	case entryPulse:
		e.Pulse = f.varint
	case entryPulseAge:
		e.PulseAge = duration(f.varint)
	case entryVersion:
		e.State.Version = f.varint
	case entryBody:
		e.State.Body = bytes.Clone(f.bytes)
	case entryBodyAge:
		e.State.Age = duration(f.varint)
	case entryNotesVersion:
		e.Notes.Version = f.varint
	case entryNotes:
		e.Notes.Body = bytes.Clone(f.bytes)
	case entryNotesAge:
		e.Notes.Age = duration(f.varint)
	}
	return nil
}

func (c *card) set(f field) error {
	switch f.num {
	case cardName:
		c.Name = string(f.bytes)
	case cardIncarnation:
		c.Incarnation = string(f.bytes)
	case cardAddress:
		c.Address = string(f.bytes)
	case cardZone:
		c.AvailabilityZone = string(f.bytes)
	case cardStoreless:
		c.StoreUnreachable = f.varint != 0
	case cardStopping:
		c.Stopping = f.varint != 0
	case cardGeneration:
		c.Generation = f.varint
	case cardMegabits:
		c.BandwidthMbps = f.varint
	}
	return nil
}
